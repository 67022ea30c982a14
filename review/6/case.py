"""A router serves by a usage mark that the store has never accepted, and dies.

The first mark of a budget can't be written, since the partition of the marks
is down while the other partitions serve. The process is killed meanwhile.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

from aiohttp import web

import deployment as d

FOLDER = Path(__file__).resolve().parent
PREPAID = 100_000
MARKS = 'keyed.usage'
# A new host takes tokens some eight seconds after its start; the tenant sends
# its first request later.
DOWN_AFTER_S = 6.5
FIRST_AFTER_S = 2.5
DOWN_S = 4.5
TOKENS_IN = 400
EVENTS = 20
TOKENS_PER_EVENT = 5
# The process is killed this long before the end of the outage.
KILL_BEFORE_END_S = 0.6
MOST_REQUESTS = 260


async def stream(server, request, writer):
    server.note_run(request)
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
             'Transfer-Encoding: chunked']
    lines += [f'{name}: {text}' for name, text in server.head(request).items()]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: xxxxx\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


class Partition:
    """Lets the store answer 503 to all calls for the marks."""

    is_down = False

    def wrap(self, fleet):
        @web.middleware
        async def refuse(request, handler):
            if self.is_down and request.query.get('topic') == MARKS:
                return web.Response(status=503)
            return await handler(request)

        fleet.middlewares.append(refuse)


class Spending:
    """What the tenant got: prompts and delivered events."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.tokens = 0

    async def ask(self, router):
        answer = await self.fleet.client.ask(
            router.address, '/draft/1', body=b'{}', wait_ms=5000,
            headers=d.prompt_headers(TOKENS_IN, EVENTS * TOKENS_PER_EVENT),
        )
        if answer.status == 200:
            events = answer.body.count(b'\n\n')
            self.tokens += TOKENS_IN + TOKENS_PER_EVENT * events
        return answer.status


async def play(fleet, is_troubled):
    partition = Partition()
    await d.Server(fleet, 'llm-1', 'llm', '127.0.3.1', answer=stream).start()
    await fleet.configure(**d.document(
        [d.route('draft', 'llm', 'streaming', timeout_ms=5000)],
        [d.model_service('llm')],
        prepaid=PREPAID,
    ))
    partition.wrap(fleet)
    await fleet.start_store()
    gateway = (await fleet.machine('gateway', 1)).start()
    router = (await fleet.machine('router', 1, gateways=[gateway])).start()
    await router.until_ready()
    await asyncio.sleep(DOWN_AFTER_S)
    spending = Spending(fleet)
    partition.is_down = is_troubled
    fleet.record(f'partition of the marks down: {is_troubled}')
    until = time.monotonic() + DOWN_S
    await asyncio.sleep(FIRST_AFTER_S)
    while time.monotonic() < until - KILL_BEFORE_END_S:
        await spending.ask(router)
        await asyncio.sleep(0.1)
    during = spending.tokens
    fleet.record(f'got {during} tokens until now')
    if is_troubled:
        router.signal(signal.SIGKILL)
        await router.ended()
        await asyncio.sleep(KILL_BEFORE_END_S)
        partition.is_down = False
        fleet.record('partition of the marks is back')
        router.start()
        await router.until_ready()
    for _ in range(MOST_REQUESTS):
        if await spending.ask(router) == 402:
            break
    fleet.record(f'prepaid {PREPAID}, the tenant got {spending.tokens}')
    for line in router.log_lines('budget opened'):
        fleet.record(f'{router.name} logs {line}')
    if spending.tokens < PREPAID * 0.9:
        raise d.CannotRunError('the budget was not spent')
    return spending.tokens > PREPAID


sys.exit(d.run_case(FOLDER, play))

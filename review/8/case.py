"""A router is stopped as planned while a request that it forwarded runs."""

import asyncio
import signal
import sys
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
PREPAID = 2_000_000
# A new host raises its ceilings only after some seconds.
SETTLE_S = 10
# Steady traffic from before the stop until the platform, which asks once a
# second and wants two misses, sends no new channels any more.
BEFORE_S = 2.0
AFTER_S = 2.0
GAP_S = 0.1
WAIT_MS = 6000
EVENTS = 10
PROMISES = {408, 421, 429, 503}
# Three of five servers lose the answers of three in ten requests that they run.
SERVERS = 5
FAULTY = 3
LOST = (0, 3, 6)


class Answers:
    """Streams events; a faulty server loses some of its answers."""

    def __init__(self, *, loses):
        self.loses = loses
        self.count = 0

    async def __call__(self, server, request, writer):
        server.note_run(request)
        number = self.count % 10
        self.count += 1
        if self.loses and number in LOST:
            name = request.headers.get('request-id')
            server.fleet.record(f'server {server.name}: loses answer to {name}')
            await asyncio.sleep(60)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked']
        lines += [f'{name}: {text}'
                  for name, text in server.head(request).items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {"x" * 40}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


async def play(fleet, is_troubled):
    servers = [
        await d.Server(
            fleet, f'llm-{number}', 'llm', f'127.0.3.{number}',
            answer=Answers(loses=is_troubled and number <= FAULTY),
        ).start()
        for number in range(1, SERVERS + 1)
    ]
    await fleet.configure(**d.document(
        [d.route('letra', 'llm', 'streaming', timeout_ms=WAIT_MS)],
        [d.model_service('llm')],
        prepaid=PREPAID,
    ))
    await fleet.start_store()
    gateway = (await fleet.machine('gateway', 1)).start()
    routers = [
        (await fleet.machine('router', number, gateways=[gateway])).start()
        for number in (1, 2)
    ]
    for router in routers:
        await router.until_ready()
    await asyncio.sleep(SETTLE_S)
    stopped = routers[0]
    asks = {}
    before = int(BEFORE_S / GAP_S)
    for number in range(before + int(AFTER_S / GAP_S)):
        if is_troubled and number == before:
            stopped.signal(signal.SIGTERM)
        name = fleet.client.new_id()
        asks[name] = asyncio.create_task(fleet.client.ask(
            stopped.address, '/letra/1', body=b'{}', wait_ms=WAIT_MS,
            name=name, headers=d.prompt_headers(2890, 85, f'{number:08x}'),
        ))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*asks.values())
    if is_troubled:
        await stopped.ended()
    ran = {run[0] for server in servers for run in server.runs}
    broken = 0
    for name, ask in asks.items():
        answer = ask.result()
        if answer.status in PROMISES and name in ran:
            broken += 1
            fleet.record(f'{name} was answered {answer.status} and has run')
    for line in stopped.log_lines('"request ended"'):
        fleet.record(f'{stopped.name} logs {line}')
    if not is_troubled and any(
        ask.result().status != 200 for ask in asks.values()
    ):
        raise d.CannotRunError('a request failed without a disruption')
    return broken > 0


sys.exit(d.run_case(FOLDER, play))

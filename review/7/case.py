"""A drill of the store, then the final fault: no router starts again.

The store comes back from a copy that is some seconds old, so it has forgotten
the last usage marks of the routers. Later all processes are killed.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
PREPAID = 60_000
ROUTERS = 2
SETTLE_S = 10
TOKENS_PER_EVENT = 5
# Prompts and answers of ever smaller requests, which spend all of a budget.
SIZES = ((900, 100), (90, 10), (10, 5))
COPY_AGE_S = 5.0
AWAY_S = 1.0
QUIET_S = 6.0
RECOVER_S = 12.0
# The machines are back by this time after the kill.
BACK_S = 1.5
RESTART_DELAY_S = 0.5
PLAIN = 20
# Bounds the restarts.
MOST_STARTS = 40


async def stream(server, request, writer):
    server.note_run(request)
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
             'Transfer-Encoding: chunked']
    lines += [f'{name}: {text}' for name, text in server.head(request).items()]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    tokens_out = int(request.headers['token-count'].partition(',')[2])
    for number in range(1, tokens_out // TOKENS_PER_EVENT + 1):
        event = f'id: {number}\ndata: xxxxx\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


class Platform:
    """Starts a process again a moment after it has ended."""

    def __init__(self, programs):
        self.programs = programs
        self.exits = []

    async def run(self):
        while len(self.exits) < MOST_STARTS:
            await asyncio.sleep(0.05)
            for program in self.programs:
                code = program.process.poll()
                if code is None:
                    continue
                self.exits.append((program.name, code))
                program.fleet.record(f'{program.name}: ended with {code}')
                await asyncio.sleep(RESTART_DELAY_S)
                program.start()


async def served(fleet, routers):
    """Return how many of some plain requests are served, in turn."""
    count = 0
    for number in range(PLAIN):
        router = routers[number % len(routers)]
        answer = await fleet.client.ask(
            router.address, '/read/1', method='GET', wait_ms=2000
        )
        count += answer.status == 200
        await asyncio.sleep(0.05)
    fleet.record(f'{count} of {PLAIN} plain requests served')
    return count


async def spend(fleet, routers, size):
    """Send requests of one size until each router says that all is spent."""
    served_tokens = 0
    spent = set()
    for number in range(200):
        router = routers[number % ROUTERS]
        answer = await fleet.client.ask(
            router.address, '/draft/1', body=b'{}',
            headers=d.prompt_headers(*size, f'{number:08x}'),
        )
        if answer.status == 200:
            served_tokens += sum(size)
        elif answer.status == 402:
            spent.add(router.name)
        if len(spent) == ROUTERS:
            break
    fleet.record(f'{served_tokens} tokens spent by requests of {sum(size)}; '
                 f'spent at {sorted(spent)}')


async def play(fleet, is_troubled):
    await d.Server(fleet, 'llm-1', 'llm', '127.0.3.1', answer=stream).start()
    await d.Server(fleet, 'app-1', 'billing', '127.0.3.2').start()
    await fleet.configure(**d.document(
        [d.route('draft', 'llm', 'streaming', timeout_ms=5000),
         d.route('read', 'billing', 'idempotent', timeout_ms=2000)],
        [d.model_service('llm'), d.plain_service('billing')],
        prepaid=PREPAID,
    ))
    await fleet.start_store()
    gateway = (await fleet.machine('gateway', 1)).start()
    routers = [
        (await fleet.machine('router', number, gateways=[gateway])).start()
        for number in range(1, ROUTERS + 1)
    ]
    for router in routers:
        await router.until_ready()
    await asyncio.sleep(SETTLE_S)
    if await served(fleet, routers) < PLAIN:
        raise d.CannotRunError('a request failed before any disruption')
    for size in SIZES:
        await spend(fleet, routers, size)
    await asyncio.sleep(2.0)
    if is_troubled:
        links = [each.link for each in (gateway, *routers)]
        for link in links:
            link.set_mode('reset')
        fleet.record('store away')
        await asyncio.sleep(AWAY_S)
        fleet.memory_store.restore(COPY_AGE_S)
        for link in links:
            link.set_mode('pass')
        fleet.record(f'store back from a copy {COPY_AGE_S} s old, '
                     f'era {fleet.memory_store.era}')
    await asyncio.sleep(QUIET_S)
    if await served(fleet, routers) < PLAIN:
        raise d.CannotRunError('a request failed before the final fault')
    platform = Platform(routers)
    watching = asyncio.create_task(platform.run())
    for router in routers:
        router.signal(signal.SIGKILL)
    fleet.record('all processes of routers killed')
    await asyncio.sleep(RECOVER_S + BACK_S)
    count = await served(fleet, routers)
    watching.cancel()
    own = [each for each in platform.exits if each[1] != -signal.SIGKILL]
    fleet.record(f'processes that ended by themselves: {len(own)}')
    for router in routers:
        for line in router.log_lines('SequenceError')[:2]:
            fleet.record(f'{router.name} logs {line}')
    return count < PLAIN / 4


sys.exit(d.run_case(FOLDER, play))

"""An entry of another writer among the servers that can't be read."""

import asyncio
import time
from pathlib import Path

import client
import fleet as fleets
from servers import Server

# A JSON document that opens lists and never closes them.
UNREADABLE = b'{"load":' + b'[' * 100_000
WRITTEN_AFTER_S = 4.0
LENGTH_S = 20.0
REQUESTS_PER_S = 40
RESTART_S = 0.5
ENDS, MACHINES = 3, 2


async def case(record):
    fleet = fleets.Fleet(record, routers=3, gateways=1)
    await fleet.store.start()
    fleet.store.put(
        'op',
        'config',
        client.configuration(
            7,
            services=[client.APP_SERVICE],
            tenants=[{'name': 't0', 'apiKeys': ['key-0']}],
            routes=[
                client.route(
                    '/invoice/',
                    'non_idempotent',
                    'billing-app',
                    timeoutMs=600,
                    sloMs=125,
                    maxAttempts=1,
                ),
                client.route(
                    '/balance/',
                    'idempotent',
                    'billing-app',
                    timeoutMs=600,
                    sloMs=125,
                ),
            ],
        ),
    )
    servers = [
        Server(fleet, f'i-{n}', 'billing-app', slots=6, work_s=0.05)
        for n in range(3)
    ]
    ends = {router.name: 0 for router in fleet.routers}
    try:
        for server in servers:
            await server.start()
        for process in fleet.processes:
            await process.start()
        for router in fleet.routers:
            await router.ready()
        keepers = [
            asyncio.create_task(restart(router, ends, record))
            for router in fleet.routers
        ]
        traffic = asyncio.create_task(send_all(fleet, record))
        await asyncio.sleep(WRITTEN_AFTER_S)
        written_at = time.monotonic()
        if fleets.TROUBLE:
            fleet.store.put('servers', 'i-other', UNREADABLE)
            record('store: an entry that cannot be read', bytes=len(UNREADABLE))
        replies = await traffic
        for keeper in keepers:
            keeper.cancel()
    finally:
        await fleet.close()
        for server in servers:
            await server.close()
    before = [each for each in replies if each.sent_at < written_at - 0.6]
    after = [each for each in replies if each.sent_at >= written_at]
    if sum(each.is_success for each in before) < len(before) / 2:
        raise fleets.CaseError('the requests before the entry were not served')
    cut = sum(
        run.id in {each.id for each in replies if not each.is_success}
        for server in servers
        for run in server.runs
    )
    text = (
        f'processes ended by themselves {ends}; {cut} requests were passed on '
        f'and not answered; served before {count(before)}, after {count(after)}'
    )
    return sum(n >= ENDS for n in ends.values()) >= MACHINES, text


async def restart(router, ends, record):
    """Start a process again that has ended by itself, as the platform does."""
    while True:
        code = await router.child.wait()
        ends[router.name] += 1
        record('process ended by itself', name=router.name, code=code)
        await asyncio.sleep(RESTART_S)
        await router.start()


async def send_all(fleet, record):
    tasks = []
    for number in range(int(LENGTH_S * REQUESTS_PER_S)):
        path = '/invoice/post' if number % 2 else '/balance/read'
        address = fleet.routers[number // 2 % 3].front
        tasks.append(
            asyncio.create_task(
                client.send(record, address, path, 'key-0', limit_s=0.6)
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


def count(replies):
    return f'{sum(each.is_success for each in replies)} of {len(replies)}'


if __name__ == '__main__':
    fleets.main(case, Path(__file__).parent)

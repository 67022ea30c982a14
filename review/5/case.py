"""A heartbeat of a server that the store writes after its entry was removed."""

import asyncio
import time
from pathlib import Path

import client
import fleet as fleets
from servers import HEARTBEAT_S, Server

LATE_S = 5.0
REMOVED_AFTER_S = 3.2
SERVES_ON_S = 5.3
WORK_S = 0.1
SILENCE_S = 3 * HEARTBEAT_S
DRAIN_S = fleets.BOUNDS['drainMs'] / 1000
CONTACT_S = fleets.BOUNDS['contactMs'] / 1000
REQUESTS_PER_S = 100
LENGTH_S = 14.0


async def case(record):
    fleet = fleets.Fleet(record, routers=2, gateways=1)
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
        Server(fleet, f'i-{n}', 'billing-app', slots=6, work_s=WORK_S)
        for n in range(3)
    ]
    leaving = servers[0]
    try:
        for server in servers:
            await server.start()
        for process in fleet.processes:
            await process.start()
        for router in fleet.routers:
            await router.ready()
        await asyncio.sleep(CONTACT_S)
        traffic = asyncio.create_task(send_all(fleet, record))
        await asyncio.sleep(1)
        removed_at, late_at = await leave(fleet, leaving, record)
        replies = await traffic
    finally:
        await fleet.close()
        for server in servers:
            await server.close()
    served = sum(reply.is_success for reply in replies)
    if served < len(replies) / 2:
        raise fleets.CaseError(f'only {served} of {len(replies)} were served')
    ids = {reply.id for reply in replies}
    overdue = [
        run.at
        for run in leaving.runs
        if run.id in ids and run.at > removed_at + DRAIN_S
    ]
    # Even if the late write itself counts as an impairment of the store.
    in_touch = [at for at in overdue if at > late_at + CONTACT_S]
    cut = [run.id for run in leaving.runs if not run.is_complete]
    lost = [
        reply.id
        for reply in replies
        if reply.id in cut and not reply.is_success
    ]
    record(
        'requests that were cut off when the server ended', ids=cut, lost=lost
    )
    text = (
        f'{len(overdue)} requests reached {leaving.name} later than {DRAIN_S} s '
        f'after its removal, {len(in_touch)} of them later than '
        f'{CONTACT_S} s after the late write; {len(lost)} were lost as it ended; {served} of {len(replies)} served'
    )
    return bool(in_touch), text


async def leave(fleet, server, record):
    """Let a server leave that does not report that it drains."""
    old = server.entry()
    record(
        'server: heartbeat sent', server=server.name, sequence=old['sequence']
    )
    if fleets.TROUBLE:
        record('store: the heartbeat gets no answer', executed_in_s=LATE_S)
    else:
        fleet.store.put('servers', server.name, old)
    sent_at = time.monotonic()
    await asyncio.sleep(REMOVED_AFTER_S)
    server.stop_beating()
    fleet.store.put('servers', server.name, None)
    removed_at = time.monotonic()
    record('store: entry removed', server=server.name, sequence=server.sequence)
    late_at = sent_at + LATE_S
    await asyncio.sleep(late_at - time.monotonic())
    if fleets.TROUBLE:
        fleet.store.put('servers', server.name, old)
        record(
            'store: the late heartbeat is executed',
            server=server.name,
            sequence=old['sequence'],
        )
        expiry = asyncio.create_task(expire(fleet, server, record))
    await asyncio.sleep(removed_at + SERVES_ON_S - time.monotonic())
    await server.close()
    record('server ended', server=server.name)
    if fleets.TROUBLE:
        await expiry
    return removed_at, late_at


async def expire(fleet, server, record):
    await asyncio.sleep(SILENCE_S)
    fleet.store.put('servers', server.name, None)
    record(
        'store: entry removed after three silent heartbeats', server=server.name
    )


async def send_all(fleet, record):
    tasks = []
    for number in range(int(LENGTH_S * REQUESTS_PER_S)):
        path = '/invoice/post' if number % 2 else '/balance/read'
        address = fleet.routers[number // 2 % 2].front
        tasks.append(
            asyncio.create_task(
                client.send(record, address, path, 'key-0', limit_s=0.6)
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


if __name__ == '__main__':
    fleets.main(case, Path(__file__).parent)

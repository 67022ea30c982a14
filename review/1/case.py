"""A ceiling of a stopped process that the store writes late."""

import asyncio
import os
from pathlib import Path

import client
import fleet as fleets
from servers import STRIDE, Server

TENANTS = 10
INPUT, OUTPUT = 17_020, 120
PREPAID = 72_000
LATE_S = 3.0
LOST_FOR_S = 4.5
SETTLE_S = 20.0
AFTER_S = 2.0


async def case(record):
    fleet = fleets.Fleet(record, routers=4, gateways=1)
    tenants = [
        {'name': f't{n}', 'apiKeys': [f'key-{n}'], 'prepaid': PREPAID}
        for n in range(TENANTS)
    ]
    await fleet.store.start()
    fleet.store.put(
        'op',
        'config',
        client.configuration(
            7,
            services=[client.MODEL_SERVICE],
            tenants=tenants,
            routes=[
                client.route(
                    '/statement/', 'streaming', 'dues-llm', resumable=True
                )
            ],
        ),
    )
    servers = [Server(fleet, f'i-{n}', 'dues-llm') for n in range(3)]
    try:
        for server in servers:
            await server.start()
        for process in fleet.processes:
            await process.start()
        for router in fleet.routers:
            await router.ready()
        # Until the routers have divided the tokens among themselves.
        await asyncio.sleep(SETTLE_S)
        if fleets.TROUBLE:
            await restart_with_late_append(fleet)
        used = await burst(fleet, record)
    finally:
        await fleet.close()
        for server in servers:
            await server.close()
    worst = max(used, key=used.get)
    text = (
        f'{worst} got {used[worst]} tokens of {PREPAID} prepaid; '
        f'over: {sorted(n for n in used if used[n] > PREPAID)}; '
        f'{fleet.store.unanswered} of {fleet.store.calls} calls unanswered'
    )
    return used[worst] > PREPAID, text


async def restart_with_late_append(fleet):
    """Stop and start a router while answers of the store are lost."""
    store = fleet.store
    executed = asyncio.Event()
    store.on_late = lambda topic, keys, status: executed.set()
    store.fault = lambda topic, keys: LATE_S if 'ceilings' in topic else None
    stopped = fleet.routers[0]
    asyncio.get_running_loop().call_later(
        LOST_FOR_S, setattr, store, 'fault', lambda topic, keys: None
    )
    await stopped.stop()
    await asyncio.sleep(0.3)
    await stopped.start()
    await stopped.ready()
    async with asyncio.timeout(LOST_FOR_S + LATE_S):
        await executed.wait()
    await asyncio.sleep(AFTER_S)


async def burst(fleet, record):
    """Send five requests of a tenant at once, tenant by tenant.

    Returns the tokens that each got.
    """
    first, second, third, fourth = (each.front for each in fleet.routers)
    used = {f't{n}': 0 for n in range(TENANTS)}

    async def ask(number, address):
        prompt = f'aa{number}:13300,{os.urandom(4).hex()}:{INPUT - 13300}'
        reply = await client.send(
            record,
            address,
            '/statement/draft',
            f'key-{number}',
            headers={
                'Model': 'm',
                'Token-Count': f'{INPUT},{OUTPUT}',
                'Prompt-Prefix': prompt,
            },
        )
        if reply.status == 200:
            used[f't{number}'] += INPUT + STRIDE * reply.events

    for number in range(TENANTS):
        await asyncio.gather(
            *(
                ask(number, address)
                for address in (second, second, third, fourth, first)
            )
        )
    return used


if __name__ == '__main__':
    fleets.main(case, Path(__file__).parent)

"""Tokens of tenants after half of the routers were killed at once."""

import asyncio
import signal
import time
from pathlib import Path

import client
import fleet as fleets
from servers import STRIDE, Server

TENANTS = 10
INPUT, OUTPUT = 9_190, 50
NEED = INPUT + OUTPUT
PREPAID = 30 * NEED
REQUESTS_PER_S = 2.0
KILLED_AFTER_S = 6.0
KILLED = 2
DOWN_S = 2.0
LENGTH_S = 26.0
CONTACT_S = fleets.BOUNDS['contactMs'] / 1000
SETTLE_S = fleets.BOUNDS['settle_ms'] / 1000
OWED_SHARE = 0.97
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


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
                    '/recon/',
                    'streaming',
                    'dues-llm',
                    timeoutMs=5000,
                    sloMs=500,
                    resumable=True,
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
        await asyncio.sleep(15)
        traffic = [
            asyncio.create_task(ask_on(fleet, number, record))
            for number in range(TENANTS)
        ]
        await asyncio.sleep(KILLED_AFTER_S)
        if fleets.TROUBLE:
            await kill_some(fleet)
        back_at = time.monotonic()
        asked = [each for task in traffic for each in await task]
    finally:
        await fleet.close()
        for server in servers:
            await server.close()
    runs = {run.id: run for server in servers for run in server.runs}
    return judge(asked, runs, back_at, record)


async def kill_some(fleet):
    for router in fleet.routers[:KILLED]:
        router.send(signal.SIGKILL)
    for router in fleet.routers[:KILLED]:
        await router.child.wait()
    await asyncio.sleep(DOWN_S)
    for router in fleet.routers[:KILLED]:
        await router.start()
    for router in fleet.routers[:KILLED]:
        await router.ready()


async def ask_on(fleet, number, record):
    """Send a tenant's requests at a steady rate, in turn to all routers."""
    tasks = []
    for turn in range(int(LENGTH_S * REQUESTS_PER_S)):
        address = fleet.routers[(turn + number) % len(fleet.routers)].front
        prompt = f'aa{number}:6300,{number:x}f{turn:x}:{INPUT - 6300}'
        tasks.append(asyncio.create_task(ask(record, address, number, prompt)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def ask(record, address, number, prompt):
    reply = await client.send(
        record,
        address,
        '/recon/claim',
        f'key-{number}',
        limit_s=5.0,
        headers={
            'Model': 'm',
            'Token-Count': f'{INPUT},{OUTPUT}',
            'Prompt-Prefix': prompt,
        },
    )
    return number, reply, time.monotonic()


def judge(asked, runs, back_at, record):
    """Count refusals of requests that fit into what was left of ``prepaid``."""
    denied = 0
    for number, reply, ended_at in asked:
        if reply.status != 402 or reply.sent_at < back_at + CONTACT_S:
            continue
        used = sum(
            most(other, runs, other_ended_at, reply.sent_at)
            for other_number, other, other_ended_at in asked
            if other_number == number
            and other is not reply
            and other.sent_at <= ended_at
        )
        fits = used + NEED <= OWED_SHARE * PREPAID
        denied += fits
        record(
            '402',
            request=reply.id,
            tenant=f't{number}',
            used_at_most=used,
            prepaid=PREPAID,
            fits=fits,
        )
    allowed = ALLOWED + ALLOWED_SHARE * len(asked)
    served = sum(reply.is_success for _, reply, _ in asked)
    text = (
        f'{denied} of {len(asked)} requests got 402 though they fit; allowed '
        f'are {allowed:.1f}; {served} served'
    )
    return denied > allowed, text


def most(reply, runs, ended_at, at):
    """Return the most that a request may have consumed by a moment.

    Its whole size while it has not ended for SETTLE_S. Else its input if a
    server began to run it, and the output that arrived.
    """
    if reply.status == 402:
        return 0
    if ended_at > at - SETTLE_S:
        return NEED
    return (INPUT if reply.id in runs else 0) + STRIDE * reply.events


if __name__ == '__main__':
    fleets.main(case, Path(__file__).parent)

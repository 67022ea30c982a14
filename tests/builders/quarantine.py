"""Builders of crashes: starts of targets, and what the store keeps of them."""

import asyncio

from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC


async def list_start(fleet, started_at, listed=None):
    """List one start of a target in place of the one before.

    :param listed: the target, the one of the service ``app`` by default
    """
    listed = listed or fleet.app
    await fleet.put('servers', listed.name, None)
    await fleet.wait_until(
        lambda: not fleet.router.target_count(listed.service)
    )
    entry = {**listed.entry(), 'born': started_at}
    await fleet.put('servers', listed.name, entry)
    await fleet.wait_until(lambda: fleet.router.target_count(listed.service))


async def wait_for_crash(fleet, target, started_at):
    """Wait until the store has a record of the crash of one start."""
    start = f'{target.name}/{started_at}'.encode()
    async with asyncio.timeout(20):
        while not await _is_recorded(fleet, start):  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def _is_recorded(fleet, start):
    page = await fleet.store.newest(CRASHES_TOPIC)
    return any(start in record.value for record in page.records)

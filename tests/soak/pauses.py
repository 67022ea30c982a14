"""Targets that ask for pauses in unusual ways, beside callers that leave."""

import asyncio

from tests.soak.leavers import leaving_callers, run_leavers
from tests.soak.standins import Mode

PAUSES_S = (2, 5)
# Targets think as long before they ask for a pause, in seconds.
ANSWER_DELAY_S = 0.1


async def pause_without_ids(soak, source):
    """Let targets ask for pauses in answers that name no request."""
    for target in soak.targets:
        target.names_request = False
    await _ask(soak, source)


async def pause_beside_leavers(soak, source):
    """Let targets ask for pauses about when callers leave."""
    for target in soak.targets:
        target.pause_after_s = ANSWER_DELAY_S
    callers = leaving_callers(
        soak, source, soak.kinds, patience_s=ANSWER_DELAY_S
    )
    await asyncio.gather(_ask(soak, source), run_leavers(soak, callers))


async def _ask(soak, source):
    while True:
        for target in soak.targets:
            target.pause_s = source.choice(PAUSES_S)
            target.mode = source.choice((Mode.PAUSED, Mode.SOUND, Mode.SOUND))
        await asyncio.sleep(source.uniform(0.2, 3))

"""Callers that leave around the first event of a stream.

Their targets are slow with that event. Most drop a run as its connection
closes; some go on with it.
"""

import asyncio

from tests.soak.callers import Caller, End

# Mean time from the arrival of a prompt to the first event, in seconds.
FIRST_EVENT_S = 0.15
# Share of the callers that leave within a few ms of the first event.
CLOSE_SHARE = 0.4
CLOSE_S = 0.01
# Share of the callers whose own time limit ends where the others leave.
LIMIT_SHARE = 0.2
LEAVERS_PER_ROUTER = 4
# Callers of these numbers tell their time limits, and write at once.
FIRST_NUMBER = 10
PAUSE_S = 0.2
# Callers that come back at once leave, and pause, for about this time.
QUICK_S = 0.05


class LeavingCaller(Caller):
    """Leaves its requests after a drawn time, each on a new connection."""

    async def _send(self, kind):
        if self._source.random() < CLOSE_SHARE:
            patience_s = self.patience_s + self._source.gauss(0, CLOSE_S)
        else:
            patience_s = self._source.uniform(0.01, 3 * self.patience_s)
        if self._source.random() < LIMIT_SHARE:
            kind = kind._replace(limit_s=patience_s)
        self._patience_s = patience_s
        await super()._send(kind)
        self._close()

    async def _exchange(self, kind, reply, broken):
        try:
            async with asyncio.timeout(self._patience_s):
                return await super()._exchange(kind, reply, broken)
        except TimeoutError:
            return End.LEFT


async def leave_targets_that_drop(soak, source):
    """Leave requests at targets that drop a run without its connection."""
    await _leave(soak, source, soak.model_targets)


async def leave_targets_that_go_on(soak, source):
    """Leave requests at targets of which half go on with their runs."""
    targets = soak.model_targets
    for target in targets[::2]:
        target.goes_on = True
    await _leave(soak, source, targets)


async def leave_and_come_back(soak, source):
    """Leave requests of all kinds, and send the next one at once."""
    await run_leavers(
        soak,
        leaving_callers(
            soak, source, soak.kinds, patience_s=QUICK_S, pause_s=QUICK_S
        ),
    )


async def _leave(soak, source, targets):
    for target in targets:
        target.first_event_s = FIRST_EVENT_S
    callers = leaving_callers(
        soak, source, soak.model_kinds, patience_s=FIRST_EVENT_S
    )
    await run_leavers(soak, callers)


async def run_leavers(soak, callers):
    """Run callers until cancelled, and tell the soak what they sent."""
    try:
        await asyncio.gather(*(each.run(float('inf')) for each in callers))
    finally:
        for caller in callers:
            soak.sent_beside.extend(caller.sent)


def leaving_callers(soak, source, kinds, *, patience_s, pause_s=PAUSE_S):
    """Return callers at all routers that leave about after a time.

    :param patience_s: mean time to the end of a request, in seconds
    :param pause_s: mean time between two requests of a caller, in seconds
    """
    callers = [
        LeavingCaller(
            router,
            number=FIRST_NUMBER + 2 * number,
            key=soak.key,
            kinds=kinds,
            pause_s=pause_s,
            seed=source.random(),
        )
        for router in soak.routers
        for number in range(LEAVERS_PER_ROUTER)
    ]
    for caller in callers:
        caller.patience_s = patience_s
    return callers

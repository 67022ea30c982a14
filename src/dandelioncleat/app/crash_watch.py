"""Tells crashes of the target from broken answers, and records them."""

import asyncio
from contextlib import suppress

import structlog

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.executor_parts import ExecutorParts
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Digest
from dandelioncleat.core.poison import Quarantine
from dandelioncleat.core.record import Crash

GATHER_S = 0.05
PROBE_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 2.0

_logger = structlog.get_logger(__name__)


class CrashWatch:
    """Names the requests whose answers broke when the target crashed.

    A crash counts here at once and elsewhere as soon as the log has it.
    """

    def __init__(self, parts: ExecutorParts, tasks: TaskScope) -> None:
        """Take the target to watch and the fleet to tell."""
        self._parts = parts
        self._tasks = tasks
        self._own = Quarantine()
        self._crashes = 0
        self._broken: dict[Digest, None] = {}
        self._inquiry: asyncio.Task[None] | None = None

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether a request was running when a target crashed."""
        return self._count(digest) > 0

    def is_poison(self, digest: Digest) -> bool:
        """Return whether a request was running at too many crashes."""
        configuration = self._parts.configuration()
        return self._count(digest) >= configuration.policy.poison_crashes

    async def broken(self, digest: Digest) -> None:
        """Find out why an answer broke; return once a crash is recorded.

        The wait is bounded, so that an outage of the log holds no one up.
        """
        self._broken[digest] = None
        if self._inquiry is None:
            self._inquiry = self._tasks.spawn(self._inquire())
        await asyncio.shield(self._inquiry)

    def _count(self, digest: Digest) -> int:
        fold = self._parts.fleet.fold
        known = fold.quarantine.crashes(digest)
        return max(known, self._own.crashes(digest))

    async def _inquire(self) -> None:
        # The other answers that the same crash broke arrive meanwhile.
        await asyncio.sleep(GATHER_S)
        is_up = await self._is_up()
        digests = tuple(self._broken)
        self._broken.clear()
        self._inquiry = None
        if not is_up:
            await self._record(digests)

    async def _is_up(self) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._parts.client.load()
        except FailureError:
            return False
        except TimeoutError:
            # A target that hangs has not crashed.
            return True
        return True

    async def _record(self, digests: tuple[Digest, ...]) -> None:
        self._crashes += 1
        place = self._parts.place
        name = f'{place.incarnation}#{self._crashes}'
        crash = Crash(place.target, digests, name)
        self._own.record(crash)
        self._parts.telemetry.count(
            'sidecar.target_crashes', target=place.target
        )
        _logger.warning(
            'target crashed',
            target=place.target,
            requests_in_flight=len(digests),
            crash=name,
        )
        task = self._tasks.spawn(self._submit(crash))
        with suppress(TimeoutError):
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await asyncio.shield(task)

    async def _submit(self, crash: Crash) -> None:
        await self._parts.fleet.submit(crash)
        # From here on the fleet's count holds, which an operator may lift.
        for digest in crash.digests:
            self._own.absolve(digest)

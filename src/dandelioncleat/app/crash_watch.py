"""Detects crashes of the target and records which requests were running."""

import asyncio
from contextlib import suppress

import structlog

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.executor_parts import ExecutorParts
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Digest
from dandelioncleat.core.poison import Quarantine
from dandelioncleat.core.record import Crash

COLLECTION_WINDOW_S = 0.05
PROBE_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 2.0

_logger = structlog.get_logger(__name__)


class CrashWatch:
    """Records the requests whose answers broke when the target crashed.

    A crash counts locally at once, and at other processes as soon as it is in
    the log.
    """

    def __init__(self, parts: ExecutorParts, tasks: TaskScope) -> None:
        """Take the executor's dependencies and a task scope."""
        self._parts = parts
        self._tasks = tasks
        self._local_quarantine = Quarantine()
        self._crash_count = 0
        self._broken_digests: dict[Digest, None] = {}
        self._probe_task: asyncio.Task[None] | None = None

    def is_suspect(self, digest: Digest) -> bool:
        """Return whether a request was running when a target crashed."""
        return self._count(digest) > 0

    def is_poison(self, digest: Digest) -> bool:
        """Return whether a request was running at too many crashes."""
        configuration = self._parts.configuration()
        return self._count(digest) >= configuration.policy.poison_crashes

    async def report_broken_answer(self, digest: Digest) -> None:
        """Check whether the target crashed; return once a crash is recorded.

        The wait is bounded, so that a log outage does not delay the caller.
        """
        self._broken_digests[digest] = None
        if self._probe_task is None:
            self._probe_task = self._tasks.spawn(self._probe_target())
        await asyncio.shield(self._probe_task)

    def _count(self, digest: Digest) -> int:
        fold = self._parts.fleet.fold
        known = fold.quarantine.crashes(digest)
        return max(known, self._local_quarantine.crashes(digest))

    async def _probe_target(self) -> None:
        # Collect the other answers that the same crash broke.
        await asyncio.sleep(COLLECTION_WINDOW_S)
        is_up = await self._is_up()
        digests = tuple(self._broken_digests)
        self._broken_digests.clear()
        self._probe_task = None
        if not is_up:
            await self._record(digests)

    async def _is_up(self) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._parts.client.load()
        except FailureError:
            return False
        except TimeoutError:
            # A hung target has not crashed.
            return True
        return True

    async def _record(self, digests: tuple[Digest, ...]) -> None:
        self._crash_count += 1
        identity = self._parts.identity
        name = f'{identity.incarnation}#{self._crash_count}'
        crash = Crash(identity.target, digests, name)
        self._local_quarantine.record(crash)
        self._parts.telemetry.count(
            'sidecar.target_crashes', target=identity.target
        )
        _logger.warning(
            'target crashed',
            target=identity.target,
            requests_in_flight=len(digests),
            crash=name,
        )
        task = self._tasks.spawn(self._submit(crash))
        with suppress(TimeoutError):
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                await asyncio.shield(task)

    async def _submit(self, crash: Crash) -> None:
        await self._parts.fleet.submit(crash)
        # The fleet now has this crash, and an operator may reset its count.
        for digest in crash.digests:
            self._local_quarantine.absolve(digest)

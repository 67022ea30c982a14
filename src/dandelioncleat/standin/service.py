"""A simulated plain service that counts the runs of each call."""

import asyncio
from collections import Counter
from typing import NamedTuple

import msgspec

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.identity import RequestKey, RunId, request_key_of
from dandelioncleat.ports.target import TargetLoad
from dandelioncleat.standin._fence import Fence
from dandelioncleat.standin._lag import LaggingState
from dandelioncleat.standin.prompt import is_poison
from dandelioncleat.standin.refusal import CrashedError, DownError

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD'))
CREATED = 201
OK = 200


class ServiceSettings(NamedTuple):
    """Capacity and timing of a plain service.

    :param slots: maximum number of concurrent calls
    :param service_ms: duration of a call in milliseconds
    :param checks_fencing: whether calls with a lower number are refused
    :param restart_s: seconds from a crash to the restart
    """

    slots: int = 16
    service_ms: float = 5
    checks_fencing: bool = False
    restart_s: float = 1


class ServiceCall(NamedTuple):
    """A call to the service."""

    run: RunId
    method: str
    path: str
    body: bytes
    fence: int = 0


class ServiceAnswer(NamedTuple):
    """The answer to a call; its body echoes the call."""

    status: int
    body: bytes


class ServiceRun:
    """A run of a call; the replay and the demo take it as ground truth.

    ``took_effect`` is set once the call counts as run.
    """

    def __init__(self, call: ServiceCall, opened_at: float) -> None:
        """Start before the call has a slot."""
        self.run = call.run
        self.method = call.method
        self.path = call.path
        self.opened_at = opened_at
        self.started_at: float = -1
        self.ended_at: float = -1
        self.took_effect = False

    @property
    def idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.method in IDEMPOTENT_METHODS


class PlainService:
    """Simulates calls in the event loop's time and records them.

    ``queued`` is the number of calls that wait for a slot.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        """Start idle."""
        self.settings = settings
        self.runs: list[ServiceRun] = []
        self.crashes = 0
        self._fence = Fence(checks=settings.checks_fencing)
        self.load_reports = LaggingState[TargetLoad](now=_now)
        self.crashed = Signal()
        self._down_until: float = 0
        self._running = 0
        self.queued = 0
        self._slot_free = asyncio.Semaphore(settings.slots)

    @property
    def down(self) -> bool:
        """Whether the service crashed and has not restarted yet."""
        return self.down_s > 0

    @property
    def down_s(self) -> float:
        """Seconds until the restart, 0 if the service is up."""
        return max(0, self._down_until - _now())

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Run a call and return its answer.

        Raises an error of ``standin.refusal`` if it is refused or aborted. If
        the caller disconnects while the call waits for a slot, it does not
        run; if it has a slot already, it runs to its end.
        """
        if self.down:
            raise DownError
        self._fence.check(call.fence)
        run = ServiceRun(call, _now())
        self.runs.append(run)
        crashes = self.crashes
        with _QueuedCall(self):
            await self._slot_free.acquire()
        task = asyncio.ensure_future(self._run(run, call, crashes))
        task.add_done_callback(_retrieve_error)
        return await asyncio.shield(task)

    def counts(self) -> Counter[RequestKey]:
        """Count the runs of each request that is not idempotent."""
        return Counter(
            request_key_of(run.run)
            for run in self.runs
            if run.took_effect and not run.idempotent
        )

    def fence(self, number: int) -> bool:
        """Raise the fencing number; return whether it is checked."""
        return self._fence.raise_to(number)

    def load(self) -> TargetLoad:
        """Return the newest load report."""
        age_s, report = self.load_reports.read(self._load())
        return report._replace(age_s=age_s)

    def crash(self, down_s: float | None = None) -> None:
        """Abort every call in progress and restart later.

        :param down_s: seconds until the restart; default ``restart_s``
        """
        self.crashes += 1
        if down_s is None:
            down_s = self.settings.restart_s
        self._down_until = _now() + down_s
        self.crashed.notify()

    async def _run(
        self,
        run: ServiceRun,
        call: ServiceCall,
        crashes: int,
    ) -> ServiceAnswer:
        if self.crashes == crashes:
            await self._take_effect(run, call)
        self._slot_free.release()
        self.load_reports.note(self._load())
        if self.crashes > crashes:
            raise CrashedError
        return _answer(call)

    async def _take_effect(self, run: ServiceRun, call: ServiceCall) -> None:
        self._running += 1
        self.load_reports.note(self._load())
        run.started_at = _now()
        run.took_effect = True
        if is_poison(call.body):
            self.crash()
        else:
            await self.crashed.wait(self.settings.service_ms / 1000)
        run.ended_at = _now()
        self._running -= 1

    def _load(self) -> TargetLoad:
        return TargetLoad(
            slots=self.settings.slots,
            running=self._running,
            queued=self.queued,
            demand_tokens=self._running + self.queued,
            kv_tokens=0,
            age_s=0,
        )


class _QueuedCall:
    """Counts a call as queued within a ``with`` block."""

    def __init__(self, service: PlainService) -> None:
        self._service = service

    def __enter__(self) -> None:
        self._service.queued += 1

    def __exit__(self, *error: object) -> None:
        self._service.queued -= 1


def _retrieve_error(task: 'asyncio.Future[ServiceAnswer]') -> None:
    # Unless retrieved, asyncio logs the error if the caller has left.
    if not task.cancelled():
        task.exception()


def _answer(call: ServiceCall) -> ServiceAnswer:
    idempotent = call.method in IDEMPOTENT_METHODS
    echo = {
        'organisation': call.run.organisation,
        'key': call.run.key,
        'method': call.method,
        'path': call.path,
        'echo': call.body.decode(errors='replace'),
    }
    return ServiceAnswer(
        OK if idempotent else CREATED, msgspec.json.encode(echo)
    )


def _now() -> float:
    return asyncio.get_running_loop().time()

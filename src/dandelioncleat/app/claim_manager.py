"""Gives each non-idempotent request its one run, by way of the log."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, auto

import structlog

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.claim_replies import held, refuse, slot_closed
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.log_guard import LogGuard
from dandelioncleat.core.claim import (
    AlreadyClaimed,
    Claimed,
    ClaimVerdict,
    LiveClaim,
    Void,
    VoidReason,
)
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.home import key_conflict
from dandelioncleat.core.identity import (
    RequestKey,
    RunId,
    request_key_of,
)
from dandelioncleat.core.message import (
    Attach,
    Begin,
    Message,
    NotHome,
    Placed,
)
from dandelioncleat.core.record import Claim, Outcome, Seal
from dandelioncleat.core.slot import slot_of

CLAIM_TIMEOUT_S = 6.0
OUTAGE_WAIT_S = 0.5
SEAL_TIMEOUT_S = 2.0

_logger = structlog.get_logger(__name__)


class _Permission(Enum):
    """Whether the run of a pending claim was permitted or sealed."""

    NONE = auto()
    GIVEN = auto()
    SEALED = auto()


class _Pending:
    """A claim that the log has not returned yet."""

    def __init__(self, attach: Attach, run: RunId) -> None:
        self.attach = attach
        self.run = run
        self.waiting = 0
        self.permission = _Permission.NONE
        self.verdict: asyncio.Future[ClaimVerdict] = (
            asyncio.get_running_loop().create_future()
        )

    @contextmanager
    def waiter(self) -> Iterator[None]:
        """Keep the claim from being sealed as long as someone waits."""
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1


class ClaimManager:
    """Answers routers that ask to run a non-idempotent request.

    While the log is out, an owner of a guarded slot permits runs on its
    memory alone; their claims stay queued and follow when the log is back.
    """

    def __init__(
        self,
        parts: HomeParts,
        guard: LogGuard,
        tasks: TaskScope,
    ) -> None:
        """Take the home's surroundings and the guard of its slots."""
        self._parts = parts
        self._guard = guard
        self._tasks = tasks
        self._pending_by_request: dict[RequestKey, _Pending] = {}

    @property
    def unrecorded(self) -> int:
        """Return the number of permitted runs that the log does not show."""
        return sum(
            pending.permission is not _Permission.NONE
            for pending in self._pending_by_request.values()
        )

    async def attach(self, attach: Attach) -> Message:
        """Permit the one run of a request or name the one that there is."""
        service = self._parts.service()
        if service is None or not self._parts.follower.caught_up.is_set():
            return refuse(
                self._parts,
                Code.NOT_READY,
                'the claims have not been read yet',
            )
        number = slot_of(attach.request, service.slots)
        slot = self._parts.claims.slot(number)
        if slot.owner != self._parts.incarnation:
            return NotHome(slot.owner)
        known = self._known(attach)
        if known is not None:
            return known
        pending = self._pending_by_request.get(attach.request)
        if pending is None or pending.permission is _Permission.SEALED:
            pending = self._submit(attach, number)
        return await self._wait(pending, attach, service)

    async def release(self, run: RunId) -> None:
        """Free a request whose run was sealed by its executor."""
        request = request_key_of(run)
        service = self._parts.service()
        if service is None:
            return
        pending = self._pending_by_request.get(request)
        if pending is not None and pending.run == run:
            pending.permission = _Permission.SEALED
        task = self._tasks.spawn(self._seal(run, service))
        await asyncio.wait((task,), timeout=SEAL_TIMEOUT_S)

    def note_outcome(self, run: RunId, status: int) -> None:
        """Have the log remember how a run at this process's target ended."""
        self._tasks.spawn(self._parts.follower.submit(Outcome(run, status)))

    def _known(self, attach: Attach) -> Message | None:
        """Answer from what is known already, ``None`` to claim or wait."""
        pending = self._pending_by_request.get(attach.request)
        claim = self._parts.claims.claim_of(attach.request)
        if pending is not None and pending.attach.body != attach.body:
            return key_conflict(self._parts.incarnation)
        if pending is not None and pending.permission is _Permission.GIVEN:
            return Placed(pending.run, pending.attach.executor)
        if pending is None and claim is not None and not claim.sealed:
            return held(self._parts, attach, claim)
        if attach.executor:
            return None
        text = 'the request has no run'
        return refuse(self._parts, Code.NOT_FOUND, text)

    def _submit(self, attach: Attach, number: int) -> _Pending:
        attempt = _next_attempt(
            self._parts.claims.claim_of(attach.request),
            self._pending_by_request.get(attach.request),
        )
        run = RunId(*attach.request, self._parts.incarnation, attempt)
        pending = _Pending(attach, run)
        self._pending_by_request[attach.request] = pending
        self._tasks.spawn(self._claim(pending, number))
        return pending

    async def _claim(self, pending: _Pending, number: int) -> None:
        """Claim under the current epoch until the verdict is final."""
        while True:
            claim = Claim(
                pending.attach.request,
                pending.attach.body,
                number,
                self._parts.claims.slot(number).epoch,
                pending.run,
                pending.attach.executor,
            )
            verdict = await self._verdict_on(claim)
            if verdict != Void(VoidReason.STALE, self._parts.incarnation):
                pending.verdict.set_result(verdict)
                self._settle(pending, verdict)
                return

    async def _verdict_on(self, claim: Claim) -> ClaimVerdict:
        try:
            return (await self._parts.follower.submit(claim))[0]
        except FailureError:
            # The entry was dropped unread; a checkpoint stands for it.
            known = self._parts.claims.claim_of(claim.request)
            if known is not None and known.run == claim.run:
                return Claimed(claim.run)
            return Void(VoidReason.STALE, self._parts.incarnation)

    def _settle(self, pending: _Pending, verdict: ClaimVerdict) -> None:
        request = pending.attach.request
        if self._pending_by_request.get(request) is pending:
            self._pending_by_request.pop(request)
        is_valid = isinstance(verdict, Claimed)
        if pending.permission is _Permission.GIVEN and not is_valid:
            self._parts.telemetry.count('home.unrecorded_runs')
            _logger.error(
                'a run without a claim could not be recorded',
                organisation=request.organisation,
                key=request.key,
            )
        service = self._parts.service()
        is_idle = pending.permission is _Permission.NONE and not pending.waiting
        if is_valid and is_idle and service is not None:
            # Whoever asked was told that it did not run, or has left.
            self._tasks.spawn(self._seal(pending.run, service))

    async def _wait(
        self,
        pending: _Pending,
        attach: Attach,
        service: Service,
    ) -> Message:
        number = slot_of(attach.request, service.slots)
        is_out = self._guard.is_log_out(service)
        limit_s = OUTAGE_WAIT_S if is_out else CLAIM_TIMEOUT_S
        is_permitted = False
        with pending.waiter():
            await asyncio.wait((pending.verdict,), timeout=limit_s)
            if not pending.verdict.done():
                is_permitted = await self._guard.permits(service, number)
        if pending.verdict.done():
            return self._answer(pending, attach, pending.verdict.result())
        if pending.permission is _Permission.GIVEN:
            return Placed(pending.run, pending.attach.executor)
        if is_permitted and pending.permission is _Permission.NONE:
            self._parts.telemetry.count('home.guarded_runs')
            return self._permit(pending)
        text = 'the log did not return the claim'
        return refuse(self._parts, Code.LOG, text)

    def _answer(
        self,
        pending: _Pending,
        attach: Attach,
        verdict: ClaimVerdict,
    ) -> Message:
        match verdict:
            case Claimed() if pending.permission is _Permission.NONE:
                return self._permit(pending)
            case Claimed():
                return Placed(pending.run, pending.attach.executor)
            case AlreadyClaimed(claim):
                return held(self._parts, attach, claim)
            case Void(VoidReason.STALE, owner):
                return NotHome(owner)
            case Void(VoidReason.CONFLICT):
                return key_conflict(self._parts.incarnation)
            case Void(VoidReason.CLOSED):
                return slot_closed(self._parts)
            case _:
                return refuse(self._parts, Code.SEALED, 'the attempt is closed')

    def _permit(self, pending: _Pending) -> Begin:
        pending.permission = _Permission.GIVEN
        return Begin(pending.run, pending.attach.executor)

    async def _seal(self, run: RunId, service: Service) -> None:
        request = request_key_of(run)
        number = slot_of(request, service.slots)
        while True:
            epoch = self._parts.claims.slot(number).epoch
            seal = Seal(request, number, epoch, run.attempt)
            verdict = (await self._parts.follower.submit(seal))[0]
            if verdict != Void(VoidReason.STALE, self._parts.incarnation):
                return


def _next_attempt(known: LiveClaim | None, pending: _Pending | None) -> int:
    attempt = 0
    if known is not None:
        attempt = known.run.attempt
    if pending is not None:
        attempt = max(attempt, pending.run.attempt)
    return attempt + 1

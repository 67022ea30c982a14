"""Permits at most one run per non-idempotent request, using the log."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, auto

import structlog

from dandelioncleat.app._task_scope import TaskScope
from dandelioncleat.app.claim_replies import (
    claimed_reply,
    closed_slot_reply,
    refuse,
)
from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.app.log_guard import LogGuard
from dandelioncleat.core.claim import (
    Claimed,
    ClaimVerdict,
    Held,
    LiveClaim,
    Void,
    VoidReason,
)
from dandelioncleat.core.configuration import Service
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.home import conflict
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


class _PendingClaim:
    """A claim that was submitted but not yet read back from the log."""

    def __init__(self, attach: Attach, run: RunId) -> None:
        self.attach = attach
        self.run = run
        self.waiter_count = 0
        self.permission = _Permission.NONE
        self.verdict: asyncio.Future[ClaimVerdict] = (
            asyncio.get_running_loop().create_future()
        )

    @contextmanager
    def waiter(self) -> Iterator[None]:
        """Prevent the claim from being sealed while a caller waits."""
        self.waiter_count += 1
        try:
            yield
        finally:
            self.waiter_count -= 1


class ClaimManager:
    """Answers routers that ask to run a non-idempotent request.

    During a log outage, the owner of a guarded slot permits runs based on its
    own memory; their claims stay queued and are appended after the outage.
    """

    def __init__(
        self,
        parts: HomeParts,
        guard: LogGuard,
        tasks: TaskScope,
    ) -> None:
        """Take the home's dependencies, its slots' guard and a task scope."""
        self._parts = parts
        self._guard = guard
        self._tasks = tasks
        self._pending_by_request: dict[RequestKey, _PendingClaim] = {}

    @property
    def unrecorded_runs(self) -> int:
        """Return the number of permitted runs whose claim is not in the log."""
        return sum(
            pending.permission is not _Permission.NONE
            for pending in self._pending_by_request.values()
        )

    async def attach(self, attach: Attach) -> Message:
        """Permit a request's run, or return the run that already exists."""
        service = self._parts.service()
        if service is None or not self._parts.follower.caught_up.is_set():
            return refuse(
                self._parts,
                Code.NOT_READY,
                'claims have not been read yet',
            )
        number = slot_of(attach.request, service.slots)
        slot = self._parts.claims.slot(number)
        if slot.owner != self._parts.incarnation:
            return NotHome(slot.owner)
        known = self._reply_if_known(attach)
        if known is not None:
            return known
        pending = self._pending_by_request.get(attach.request)
        if pending is None or pending.permission is _Permission.SEALED:
            pending = self._start_claim(attach, number)
        return await self._wait(pending, attach, service)

    async def release(self, run: RunId) -> None:
        """Allow a new run of a request whose run the executor sealed."""
        request = request_key_of(run)
        service = self._parts.service()
        if service is None:
            return
        pending = self._pending_by_request.get(request)
        if pending is not None and pending.run == run:
            pending.permission = _Permission.SEALED
        task = self._tasks.spawn(self._seal(run, service))
        await asyncio.wait((task,), timeout=SEAL_TIMEOUT_S)

    def record_outcome(self, run: RunId, status: int) -> None:
        """Append the status with which a run at this target ended."""
        self._tasks.spawn(self._parts.follower.submit(Outcome(run, status)))

    def _reply_if_known(self, attach: Attach) -> Message | None:
        """Return a reply from known claims, ``None`` to claim or wait."""
        pending = self._pending_by_request.get(attach.request)
        claim = self._parts.claims.claim_of(attach.request)
        if pending is not None and pending.attach.body != attach.body:
            return conflict(self._parts.incarnation)
        if pending is not None and pending.permission is _Permission.GIVEN:
            return Placed(pending.run, pending.attach.executor)
        if pending is None and claim is not None and not claim.sealed:
            return claimed_reply(self._parts, attach, claim)
        if attach.executor:
            return None
        text = 'the request has no run'
        return refuse(self._parts, Code.NOT_FOUND, text)

    def _start_claim(self, attach: Attach, number: int) -> _PendingClaim:
        attempt = _next_attempt(
            self._parts.claims.claim_of(attach.request),
            self._pending_by_request.get(attach.request),
        )
        run = RunId(*attach.request, self._parts.incarnation, attempt)
        pending = _PendingClaim(attach, run)
        self._pending_by_request[attach.request] = pending
        self._tasks.spawn(self._claim(pending, number))
        return pending

    async def _claim(self, pending: _PendingClaim, number: int) -> None:
        """Submit the claim under the current epoch until it is final."""
        while True:
            claim = Claim(
                pending.attach.request,
                pending.attach.body,
                number,
                self._parts.claims.slot(number).epoch,
                pending.run,
                pending.attach.executor,
            )
            verdict = await self._submit_claim(claim)
            if verdict != Void(VoidReason.STALE, self._parts.incarnation):
                pending.verdict.set_result(verdict)
                self._finish_claim(pending, verdict)
                return

    async def _submit_claim(self, claim: Claim) -> ClaimVerdict:
        try:
            return (await self._parts.follower.submit(claim))[0]
        except FailureError:
            # The entry was removed before it was read; use the checkpoint.
            known = self._parts.claims.claim_of(claim.request)
            if known is not None and known.run == claim.run:
                return Claimed(claim.run)
            return Void(VoidReason.STALE, self._parts.incarnation)

    def _finish_claim(
        self, pending: _PendingClaim, verdict: ClaimVerdict
    ) -> None:
        request = pending.attach.request
        if self._pending_by_request.get(request) is pending:
            self._pending_by_request.pop(request)
        is_valid = isinstance(verdict, Claimed)
        if pending.permission is _Permission.GIVEN and not is_valid:
            self._parts.telemetry.count('home.unrecorded_runs')
            _logger.error(
                'claim of a run permitted during an outage was rejected',
                organisation=request.organisation,
                key=request.key,
            )
        service = self._parts.service()
        is_idle = (
            pending.permission is _Permission.NONE and not pending.waiter_count
        )
        if is_valid and is_idle and service is not None:
            # Every caller was refused or has disconnected.
            self._tasks.spawn(self._seal(pending.run, service))

    async def _wait(
        self,
        pending: _PendingClaim,
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
        text = 'the claim was not read back from the log in time'
        return refuse(self._parts, Code.LOG, text)

    def _answer(
        self,
        pending: _PendingClaim,
        attach: Attach,
        verdict: ClaimVerdict,
    ) -> Message:
        match verdict:
            case Claimed() if pending.permission is _Permission.NONE:
                return self._permit(pending)
            case Claimed():
                return Placed(pending.run, pending.attach.executor)
            case Held(claim):
                return claimed_reply(self._parts, attach, claim)
            case Void(VoidReason.STALE, owner):
                return NotHome(owner)
            case Void(VoidReason.CONFLICT):
                return conflict(self._parts.incarnation)
            case Void(VoidReason.CLOSED):
                return closed_slot_reply(self._parts)
            case _:
                return refuse(
                    self._parts, Code.SEALED, 'the attempt was sealed'
                )

    def _permit(self, pending: _PendingClaim) -> Begin:
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


def _next_attempt(
    known: LiveClaim | None, pending: _PendingClaim | None
) -> int:
    attempt = 0
    if known is not None:
        attempt = known.run.attempt
    if pending is not None:
        attempt = max(attempt, pending.run.attempt)
    return attempt + 1

"""Builds a home's replies about non-idempotent requests."""

from dandelioncleat.app.home_parts import HomeParts
from dandelioncleat.core.claim import LiveClaim
from dandelioncleat.core.failure import Code
from dandelioncleat.core.home import ATTACH_STEP, conflict
from dandelioncleat.core.message import Attach, Placed, Refusal

CLOSED_RETRY_MS = 60000


def refuse(
    parts: HomeParts,
    code: Code,
    text: str,
    *,
    ran: bool = False,
    retry_after_ms: int = 0,
) -> Refusal:
    """Count and return a refusal."""
    parts.telemetry.count('home.refusals', code=code.value)
    return Refusal(
        code,
        ATTACH_STEP,
        parts.incarnation,
        text,
        retry_after_ms,
        ran,
    )


def claimed_reply(
    parts: HomeParts, attach: Attach, claim: LiveClaim
) -> Placed | Refusal:
    """Return a claimed request's run, or refuse if its answer is lost."""
    if claim.body != attach.body:
        return conflict(parts.incarnation)
    if parts.may_still_answer(claim.executor):
        return Placed(claim.run, claim.executor)
    outcome = 'is not known'
    if claim.status is not None:
        outcome = f'was status {claim.status}, but the answer is lost'
    text = f'the request was already claimed; its outcome {outcome}'
    return refuse(parts, Code.UNKNOWN, text, ran=True)


def closed_slot_reply(parts: HomeParts) -> Refusal:
    """Refuse because the request may have run without a claim."""
    return refuse(
        parts,
        Code.UNKNOWN,
        'the slot is closed until runs without a claim have expired',
        ran=True,
        retry_after_ms=CLOSED_RETRY_MS,
    )

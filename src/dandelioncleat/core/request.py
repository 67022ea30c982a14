"""A caller's request and the answer that it receives."""

from enum import StrEnum
from typing import NamedTuple

from dandelioncleat.core.failure import Failure
from dandelioncleat.core.identity import BudgetId, Digest, RequestKey


class CallerRequest(NamedTuple):
    """An authenticated request, independent of the caller's protocol.

    ``path`` is the path at the target. ``prompt_bound`` is an upper bound of
    the prompt's tokens, or the price of a plain service's call; ``cap``
    bounds the generated tokens. ``prefixes`` are digests of prefixes of the
    prompt, the shortest first. A smaller ``priority`` goes first.
    ``deadline_s`` is the time that the caller allows, in seconds from the
    arrival. ``has_generated_key`` says that the router generated the key, so
    that the request has no earlier run.
    """

    request: RequestKey
    budget: BudgetId
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    digest: Digest
    idempotent: bool
    prompt_bound: int
    cap: int
    priority: int
    deadline_s: float
    prefixes: tuple[Digest, ...] = ()
    has_generated_key: bool = False


class RequestOutcome(StrEnum):
    """The outcome of a request, as its caller is told."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class AnswerPiece(NamedTuple):
    """The next part of an answer."""

    data: bytes
    tokens: int


class AnswerEnd(NamedTuple):
    """Ends every answer, whether complete or refused.

    ``status`` is the target's HTTP status, 0 if there is none; ``reason`` is
    the target's reason for the end. ``failure`` is set unless the outcome is
    ``answered``. ``retry_after_s`` is 0 where a retry would not help.
    """

    outcome: RequestOutcome
    request: RequestKey
    version: int
    target: str = ''
    status: int = 0
    content_type: str = ''
    reason: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    billed_tokens: int = 0
    failure: Failure | None = None
    retry_after_s: float = 0


AnswerEvent = AnswerPiece | AnswerEnd

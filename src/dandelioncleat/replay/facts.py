"""What really happened in a replay, by the stand-ins and the callers."""

from typing import NamedTuple

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.replay.trace import Request


class Circumstances(NamedTuple):
    """What held at the moment of a refusal, by the judge's account."""

    balance: int
    free_slot: bool
    log_in_reach: bool


class Receipt(NamedTuple):
    """What a caller received; ``end`` is ``None`` if its router died.

    ``gaps_s`` holds a mean gap for each token after the first;
    ``worst_case`` is the most tokens that the request may consume.
    """

    request: Request
    sent_at: float
    ended_at: float
    first_token_at: float
    gaps_s: tuple[float, ...]
    data: bytes
    expected: bytes
    worst_case: int
    end: AnswerEnd | None
    circumstances: Circumstances
    during_planned_stop: bool

    @property
    def key(self) -> RequestKey:
        """Return the request's key."""
        return RequestKey(self.request.organisation, self.request.key)

    @property
    def outcome(self) -> RequestOutcome | None:
        """Return what the caller was told, if it was told anything."""
        return None if self.end is None else self.end.outcome


class RanRun(NamedTuple):
    """One run at a target; ``ended_at`` is -1 while it runs."""

    key: RequestKey
    target: str
    idempotent: bool
    started_at: float
    ended_at: float
    tokens: int
    worst_case: int


class Charge(NamedTuple):
    """What the ledger's verdicts charge for a request."""

    bills: int = 0
    billed_tokens: int = 0
    wasted_tokens: int = 0


class TopUpFact(NamedTuple):
    """A top-up as the log holds it."""

    at: float
    organisation: str
    tokens: int


class VersionFact(NamedTuple):
    """A configuration version that came into force in a process."""

    at: float
    process: str
    version: int


class Span(NamedTuple):
    """A time during which a process or a target was in some state."""

    name: str
    start: float
    end: float


class Facts(NamedTuple):
    """Everything that the judge knows.

    ``absences`` are the times in which a process was down, paused, parted
    from the log or not yet started, with the log's own outages.
    """

    receipts: tuple[Receipt, ...]
    runs: tuple[RanRun, ...]
    charges_by_key: dict[RequestKey, Charge]
    top_ups: tuple[TopUpFact, ...]
    versions: tuple[VersionFact, ...]
    accepted_at_by_version: dict[int, float]
    absences: tuple[Span, ...]
    leaves_by_target: dict[str, float]
    lost_sidecars: tuple[Span, ...]
    stranded_tokens: int
    ended_at: float

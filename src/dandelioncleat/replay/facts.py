"""What happened in a replay, as the stand-ins and callers saw it."""

from typing import NamedTuple

from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.request import AnswerEnd, RequestOutcome
from dandelioncleat.replay.trace import Request


class FleetConditions(NamedTuple):
    """The state that decides whether a refusal at that time is justified."""

    balance: int
    has_free_slot: bool
    is_log_reachable: bool


class ReceivedAnswer(NamedTuple):
    """What a caller received; ``end`` is ``None`` if its router crashed.

    ``gaps_s`` holds the mean time between tokens for each token after the
    first; ``max_total_tokens`` bounds what the request may consume.
    """

    request: Request
    sent_at: float
    ended_at: float
    first_token_at: float
    gaps_s: tuple[float, ...]
    data: bytes
    expected: bytes
    max_total_tokens: int
    end: AnswerEnd | None
    conditions: FleetConditions
    during_planned_stop: bool

    @property
    def key(self) -> RequestKey:
        """Return the request's key."""
        return RequestKey(self.request.organisation, self.request.key)

    @property
    def outcome(self) -> RequestOutcome | None:
        """Return the outcome that the caller was told, if any."""
        return None if self.end is None else self.end.outcome


class TargetRun(NamedTuple):
    """One run at a target; ``ended_at`` is -1 while it runs."""

    key: RequestKey
    target: str
    idempotent: bool
    started_at: float
    ended_at: float
    tokens: int
    max_total_tokens: int


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


class Interval(NamedTuple):
    """A period in which a process or a target was in some state."""

    name: str
    start: float
    end: float


class Facts(NamedTuple):
    """Everything that the measures are computed from.

    ``absences`` are the periods in which a process was down, paused, cut
    off from the log or not yet started; a log outage counts for all.
    """

    answers: tuple[ReceivedAnswer, ...]
    runs: tuple[TargetRun, ...]
    charges_by_key: dict[RequestKey, Charge]
    top_ups: tuple[TopUpFact, ...]
    versions: tuple[VersionFact, ...]
    accepted_at_by_version: dict[int, float]
    absences: tuple[Interval, ...]
    leaving_since_by_target: dict[str, float]
    lost_sidecars: tuple[Interval, ...]
    stranded_tokens: int
    ended_at: float

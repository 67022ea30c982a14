"""Records of the log streams, one union type for each kind of stream.

Every record is encoded as an array with its class name as tag, so that a
record is short in the log and a decoder rejects what it does not know.
"""

from msgspec import Struct

from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Draw,
    GrantId,
    Incarnation,
    RequestKey,
    RunId,
)


class Record(Struct, frozen=True, array_like=True, tag=True):
    """Base class of all records; it holds the encoding options."""


class TopUp(Record, frozen=True):
    """Adds prepaid tokens to a budget, once for each reference."""

    budget: BudgetId
    tokens: int
    reference: str


class RequestGrant(Record, frozen=True):
    """Asks for tokens to spend; fewer than ``least`` are of no use."""

    grant: GrantId
    budget: BudgetId
    tokens: int
    least: int


class ReturnGrant(Record, frozen=True):
    """Gives unspent tokens of a grant back to its budget."""

    grant: GrantId
    tokens: int


class Bill(Record, frozen=True):
    """States the tokens that one run of a request consumed."""

    budget: BudgetId
    run: RunId
    draws: tuple[Draw, ...]
    tokens: int
    source: Incarnation


class CompleteRetirement(Record, frozen=True):
    """Frees the tokens of a retired holder once all sidecars drained it."""

    holder: Incarnation


class ReleaseHolder(Record, frozen=True):
    """Frees the tokens of a stranded holder by an operator's decision."""

    holder: Incarnation
    operator: str


LedgerRecord = (
    TopUp
    | RequestGrant
    | ReturnGrant
    | Bill
    | CompleteRetirement
    | ReleaseHolder
)


class Join(Record, frozen=True):
    """Announces a process before it sends or takes any work."""

    incarnation: Incarnation
    role: str
    data_centre: str
    address: str
    target: str = ''
    service: str = ''


class Leave(Record, frozen=True):
    """Announces that a process takes no new work."""

    incarnation: Incarnation


class End(Record, frozen=True):
    """States that a process stopped with all its work billed."""

    incarnation: Incarnation


class Retire(Record, frozen=True):
    """Fences every grant of a holder."""

    holder: Incarnation
    reason: str


class Drained(Record, frozen=True):
    """States that a sidecar refuses a retired holder and billed its runs."""

    holder: Incarnation
    sidecar: Incarnation


class Replace(Record, frozen=True):
    """Lets a sidecar act for a predecessor that its engine fences off."""

    predecessor: Incarnation
    successor: Incarnation


class Crash(Record, frozen=True):
    """Names the requests that were running when a target crashed."""

    target: str
    digests: tuple[Digest, ...]
    crash: str


class Absolve(Record, frozen=True):
    """Lifts the quarantine of a request by an operator's decision."""

    digest: Digest
    operator: str


FleetRecord = Join | Leave | End | Retire | Drained | Replace | Crash | Absolve


class TakeSlots(Record, frozen=True):
    """Claims ownership of slots whose epochs are as stated.

    ``window_s`` is how long claims of the slots are remembered, in seconds.
    If ``guard_after_s`` is positive, the owner may run requests without a
    claim once it has not reached the log for that time, and until it has
    not reached it for ``window_s``. ``seen`` is the newest log time that
    the owner had read. ``replaced`` says that the previous owner is known
    to have stopped. A record without slots only updates ``seen``.
    """

    owner: Incarnation
    slots: tuple[int, ...]
    epochs: tuple[int, ...]
    window_s: float = 3600.0
    guard_after_s: float = float(0)
    seen: float = float(0)
    replaced: bool = False


class Claim(Record, frozen=True):
    """Reserves a non-idempotent request for one run on one executor."""

    request: RequestKey
    body: Digest
    slot: int
    epoch: int
    run: RunId
    executor: Incarnation


class Seal(Record, frozen=True):
    """Closes a claimed attempt that its executor sealed before it ran.

    The attempt will never run, so the request may be claimed again.
    """

    request: RequestKey
    slot: int
    epoch: int
    attempt: int


class Outcome(Record, frozen=True):
    """States how a claimed run ended; ``status`` is the HTTP status."""

    run: RunId
    status: int


ClaimRecord = TakeSlots | Claim | Seal | Outcome


class Patch(Record, frozen=True):
    """Changes the configuration that has the version ``against``."""

    patch: str
    against: int
    operator: str
    body: bytes


ConfigurationRecord = Patch

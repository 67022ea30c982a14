"""The verdicts of the ledger on its records."""

from msgspec import Struct

from dandelioncleat.core.identity import GrantId


class Verdict(Struct, frozen=True, array_like=True, tag=True):
    """Is the base of every verdict; it holds the encoding options."""


class Added(Verdict, frozen=True):
    """A top-up was added."""

    tokens: int


class Granted(Verdict, frozen=True):
    """The holder may spend these tokens."""

    grant: GrantId
    tokens: int


class Denied(Verdict, frozen=True):
    """Too little was left for a grant."""

    left: int


class Returned(Verdict, frozen=True):
    """Tokens went back to the budget, at most what the grant still held."""

    tokens: int


class Billed(Verdict, frozen=True):
    """The bill stands; no open grant covered ``late`` of its tokens."""

    tokens: int
    late: int


class Wasted(Verdict, frozen=True):
    """A further run of a billed request was charged as waste."""

    tokens: int
    late: int


class Freed(Verdict, frozen=True):
    """The rest of a retired holder's grants went back to the budgets."""

    tokens: int


class Repeated(Verdict, frozen=True):
    """The record says what the ledger holds already; it had no effect."""


class Void(Verdict, frozen=True):
    """The record is not permitted; it had no effect."""

    reason: str


LedgerVerdict = (
    Added
    | Granted
    | Denied
    | Returned
    | Billed
    | Wasted
    | Freed
    | Repeated
    | Void
)

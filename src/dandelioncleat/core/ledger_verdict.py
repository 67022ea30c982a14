"""The verdicts of the ledger on its records."""

from msgspec import Struct

from dandelioncleat.core.identity import GrantId


class Verdict(Struct, frozen=True, array_like=True, tag=True):
    """Base of all verdicts; defines the encoding options."""


class Added(Verdict, frozen=True):
    """A top-up was added."""

    tokens: int


class Granted(Verdict, frozen=True):
    """The holder may spend these tokens."""

    grant: GrantId
    tokens: int


class Denied(Verdict, frozen=True):
    """Too few tokens were left for a grant."""

    left: int


class Returned(Verdict, frozen=True):
    """Tokens were returned to the budget, at most the rest of the grant."""

    tokens: int


class Billed(Verdict, frozen=True):
    """The bill was charged; no open grant covered ``late`` tokens of it."""

    tokens: int
    late: int


class Wasted(Verdict, frozen=True):
    """A repeated run of a billed request was charged as waste."""

    tokens: int
    late: int


class Freed(Verdict, frozen=True):
    """The rest of a retired holder's grants was freed."""

    tokens: int


class Repeated(Verdict, frozen=True):
    """The record repeats an earlier one; it had no effect."""


class Void(Verdict, frozen=True):
    """The record is invalid; it had no effect."""

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

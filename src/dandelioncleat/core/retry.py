"""Retry limits and delays of a router."""

import random

from dandelioncleat.core.failure import Code

INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0
FIRST_DELAY_S = 0.02
MAX_DELAY_S = 1.0

RETRYABLE_CODES = frozenset(
    (
        Code.CAPACITY,
        Code.LEAVING,
        Code.NOT_READY,
        Code.TARGET,
        Code.UNREACHABLE,
        Code.NOT_FOUND,
    )
)
"""Refusals after which a request may be retried on another executor.

A sealed run is not among them: the process that sealed it may have told the
caller that the request did not run.
"""


class RetryBudget:
    """Limits retries to a share of the requests.

    Each request adds the share, each retry takes one. The initial balance
    allows retries on a router with few requests.
    """

    def __init__(self) -> None:
        """Start with the initial balance."""
        self.balance = INITIAL_RETRIES
        self.refused = 0

    def note_request(self, share: float) -> None:
        """Count a request.

        :param share: retries for each request, from the configuration
        """
        self.balance = min(MAX_RETRIES, self.balance + share)

    def take(self) -> bool:
        """Take one retry; return whether one was available."""
        if self.balance < 1:
            self.refused += 1
            return False
        self.balance -= 1
        return True


def backoff_s(attempt: int, source: random.Random) -> float:
    """Return the delay before a retry, in seconds, half of it random.

    :param attempt: number of the attempt that failed, from 1
    """
    full_s: float = min(MAX_DELAY_S, FIRST_DELAY_S * 2**attempt)
    return full_s * (1 + source.random()) / 2

"""Fencing of requests to a target by an increasing number."""

from dandelioncleat.standin.refusal import FencedError


class Fence:
    """Holds the highest fencing number that a target was given.

    :param checks: whether requests with a lower number are refused
    """

    def __init__(self, *, checks: bool) -> None:
        """Start at 0, which admits every request."""
        self.number = 0
        self._checks = checks

    def check(self, number: int) -> None:
        """Raise ``FencedError`` if a request carries a lower number."""
        if self._checks and number < self.number:
            raise FencedError(self.number)

    def raise_to(self, number: int) -> bool:
        """Set the number; return whether requests are checked."""
        self.check(number)
        self.number = number
        return self._checks

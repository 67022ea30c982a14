"""The fencing number that a target checks orders against, or ignores."""

from dandelioncleat.standin.refusal import FencedError


class Fence:
    """Holds the highest fencing number that was set.

    :param checks: whether orders with an old number are refused
    """

    def __init__(self, *, checks: bool) -> None:
        """Start at 0, which admits every order."""
        self.number = 0
        self._checks = checks

    def check(self, number: int) -> None:
        """Raise ``FencedError`` on an order with an old number."""
        if self._checks and number < self.number:
            raise FencedError(self.number)

    def raise_to(self, number: int) -> bool:
        """Set the number; return whether orders are checked."""
        self.check(number)
        self.number = number
        return self._checks

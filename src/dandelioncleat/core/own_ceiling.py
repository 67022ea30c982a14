"""The ceiling of a process's own host, which only it changes."""


class OwnCeiling:
    """Keeps the confirmed ceiling and one that is being written.

    The lower of the two counts, as either may be in the store.
    """

    def __init__(self, tokens: int) -> None:
        """Start with the confirmed ceiling."""
        self._confirmed = tokens
        self._proposed: int | None = None

    @property
    def tokens(self) -> int:
        """Return the lower of the confirmed and the proposed ceiling."""
        if self._proposed is None:
            return self._confirmed
        return min(self._confirmed, self._proposed)

    def propose(self, tokens: int) -> None:
        """Store a ceiling whose record is not yet confirmed."""
        self._proposed = tokens

    def confirm(self, tokens: int) -> None:
        """Store the ceiling that the store has confirmed."""
        self._confirmed = tokens
        self._proposed = None

    def reject(self) -> None:
        """Drop a proposed ceiling that was not stored."""
        self._proposed = None

    def keep_lower(self) -> None:
        """Keep the lower ceiling, as it is unknown which one was stored."""
        self.confirm(self.tokens)

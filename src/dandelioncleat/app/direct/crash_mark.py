"""Marks a target that has crashed until it is heard again."""

# An entry that is read, or an answer that comes, this much after a loss was
# written after it.
SIGN_DELAY_S = 0.5


class CrashMark:
    """Tells whether a target has crashed and was not heard since."""

    def __init__(self) -> None:
        """Start without a crash."""
        self._crashed_at: float | None = None

    @property
    def is_set(self) -> bool:
        """Return whether the target should not be used."""
        return self._crashed_at is not None

    def note_crash(self, now: float) -> None:
        """Note that the target has crashed.

        :param now: event loop time in seconds
        """
        self._crashed_at = now

    def note_sign_of_life(self, now: float) -> None:
        """Note that the target has written an entry, or answered.

        :param now: event loop time in seconds
        """
        crashed_at = self._crashed_at
        if crashed_at is not None and now > crashed_at + SIGN_DELAY_S:
            self._crashed_at = None

"""The prompt prefixes that a target is known to have cached."""

from dandelioncleat.core.identity import Digest

MAX_PREFIXES = 128


class CachedPrefixes:
    """Applies cache events, which may be late or have gaps.

    A gap discards everything known before it: a prefix that is missing here
    only costs a chance to reuse it.
    """

    def __init__(self, *, limit: int = MAX_PREFIXES) -> None:
        """Start empty; ``limit`` is the most prefixes to remember."""
        self._limit = limit
        self._known: dict[Digest, None] = {}

    @property
    def newest_last(self) -> tuple[Digest, ...]:
        """Return the prefixes presumed cached, oldest event first."""
        return tuple(self._known)

    def apply(
        self,
        stored: tuple[Digest, ...],
        evicted: tuple[Digest, ...],
        *,
        gap: bool,
    ) -> None:
        """Apply events; a prefix in both lists counts as evicted."""
        if gap:
            self._known.clear()
        for prefix in stored:
            self._known.pop(prefix, None)
            self._known[prefix] = None
        for lost in evicted:
            self._known.pop(lost, None)
        while len(self._known) > self._limit:
            self._known.pop(next(iter(self._known)))

    def clear(self) -> None:
        """Forget all prefixes, as after a restart of the target."""
        self._known.clear()

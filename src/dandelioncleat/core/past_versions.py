"""The software versions that targets of each service had of late."""

from typing import NamedTuple

from dandelioncleat.core.deployment import TargetEntry

# Callers resume a stream sooner, as they wait for some seconds in all.
MEMORY_S = 25.0


class _Version(NamedTuple):
    service: str
    software_version: str | None


class PastVersions:
    """Remembers the versions of targets that are no longer listed."""

    def __init__(self) -> None:
        """Start without knowing what was listed before."""
        self._ended_at: dict[_Version, float] = {}
        self._known_since: float | None = None

    def begin(self, now: float) -> None:
        """Note that changes before now may have been missed."""
        self._known_since = now

    def note_end(self, entry: TargetEntry, now: float) -> None:
        """Note that an entry was listed until now."""
        version = _Version(entry.service, entry.software_version)
        self._ended_at[version] = now
        self._ended_at = {
            version: ended_at
            for version, ended_at in self._ended_at.items()
            if ended_at > now - MEMORY_S
        }

    def of(self, service: str, now: float) -> set[str | None] | None:
        """Return the past versions of a service, ``None`` if not all known."""
        if self._known_since is None or now < self._known_since + MEMORY_S:
            return None
        return {
            version.software_version
            for version, ended_at in self._ended_at.items()
            if version.service == service and ended_at > now - MEMORY_S
        }

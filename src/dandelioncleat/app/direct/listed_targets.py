"""What the platform's list says about single targets."""

import asyncio

from dandelioncleat.app.direct.target_directory import (
    TargetDirectory,
    state_of_start,
)


class ListedTargets:
    """Implements ``TargetList`` over the list that this router follows."""

    def __init__(self, directory: TargetDirectory) -> None:
        """Initialise with the list of targets."""
        self._directory = directory

    def started_at(self, target: str) -> int | None:
        """Return the start of a target that is listed, ``None`` if none is."""
        state = self._directory.state(target)
        return None if state is None else state.entry.started_at

    def health_path(self, service: str) -> str | None:
        """Return where a service's targets tell that they are healthy."""
        known = self._directory.services_by_name.get(service)
        return None if known is None else known.health_path

    def note_crash(self, start: str) -> None:
        """Avoid a start of a target that has crashed, as any router found."""
        state = state_of_start(self._directory, start)
        if state is not None:
            state.crash_mark.note_crash(asyncio.get_running_loop().time())

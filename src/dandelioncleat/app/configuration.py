"""Keeps a process from serving with an outdated configuration."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.configuration_history import ConfigurationFold
from dandelioncleat.core.envelope import configuration_codec
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.patch_verdict import AnyPatchVerdict
from dandelioncleat.core.record import Patch
from dandelioncleat.ports.log import Log

CONFIGURATION_STREAM = 'configuration'


class ConfigurationKeeper:
    """Follows the configuration stream and submits patches to it."""

    def __init__(self, *, log: Log, producer: Incarnation) -> None:
        """Take the log and the process that appends to it."""
        self.fold = ConfigurationFold()
        self.highest_known_version = 0
        self.highest_version_peer = ''
        self._follower = StreamFollower(
            log=log,
            name=CONFIGURATION_STREAM,
            fold=self.fold,
            codec=configuration_codec(),
            producer=producer,
        )
        self._newer_peer_listeners: list[Callable[[str], None]] = []
        self._changed = asyncio.Event()
        self._follower.on_change(self._note_change)

    @property
    def current(self) -> Configuration:
        """Return the newest configuration that this process has read."""
        return self.fold.current

    @property
    def caught_up(self) -> asyncio.Event:
        """Return the event that is set once the stream was read to its end."""
        return self._follower.caught_up

    @property
    def log_failing(self) -> bool:
        """Return whether the last read or append failed."""
        return self._follower.log_failing

    @property
    def ready(self) -> bool:
        """Return whether the version in force is the highest one known."""
        if not self.caught_up.is_set():
            return False
        return self.current.version >= self.highest_known_version

    def note_peer_version(self, version: int, peer: str) -> None:
        """Note the version that a peer has in force.

        :param peer: the peer's address or incarnation
        """
        if version > self.highest_known_version:
            self.highest_known_version = version
            self.highest_version_peer = peer
        if version > self.current.version:
            for listener in self._newer_peer_listeners:
                listener(peer)

    async def wait_ready(self, timeout_s: float) -> bool:
        """Wait until this process is ready; return whether it is.

        A process often learns of a new version from a peer just before it
        reads it from the log; waiting avoids refusing such requests.
        """
        return await self._wait_until(lambda: self.ready, timeout_s)

    async def wait_version(self, version: int, timeout_s: float) -> bool:
        """Wait until a version is in force here; return whether it is."""
        return await self._wait_until(
            lambda: self.current.version >= version,
            timeout_s,
        )

    def on_newer_peer(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with each peer that reports a newer version."""
        self._newer_peer_listeners.append(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after entries of the stream were applied."""
        self._follower.on_change(listener)

    async def submit(self, patch: Patch) -> AnyPatchVerdict:
        """Append a patch and return its verdict once it is read back."""
        verdicts = await self._follower.submit(patch)
        return verdicts[0]

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        await self._follower.run()

    async def _wait_until(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not condition():
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                return condition()
        return True

    def _note_change(self) -> None:
        version = self.current.version
        self.highest_known_version = max(self.highest_known_version, version)
        self._changed.set()
        self._changed = asyncio.Event()

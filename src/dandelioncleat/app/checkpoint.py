"""Stores checkpoints of a stream's fold in a second stream.

Any follower may publish a checkpoint. Followers check at different times, so
usually only the first to find the newest checkpoint outdated publishes one.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from dandelioncleat.core.checkpoint import (
    Checkpoint,
    Chunk,
    Manifest,
    assemble,
    chunks_of,
    decode_entry,
    encode_entry,
    manifest_of,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Log

CHECK_INTERVAL_S = 20.0
MAX_AGE_S = 600.0
MAX_ENTRIES = 1000
MAX_ENTRIES_SCANNED = 64
JITTER_STEPS = 1000


class NewestManifest(NamedTuple):
    """The newest manifest, and the loop time at which it was first seen."""

    offset: int
    position: int
    seen_at: float


class CheckpointStore:
    """Reads and writes the checkpoints of one stream."""

    def __init__(self, *, log: Log, stream: str) -> None:
        """Store checkpoints of ``stream`` in ``log``."""
        self._log = log
        self._name = f'{stream}.checkpoints'

    async def load(self, *, oldest: int = 0) -> Checkpoint | None:
        """Return the newest intact checkpoint.

        :param oldest: the oldest offset that the stream still has; older
            checkpoints are skipped
        """
        page = await self._log.read(self._name, start=0, limit=1)
        last = max(page.oldest, page.end - MAX_ENTRIES_SCANNED)
        for offset in range(page.end - 1, last - 1, -1):
            entry = await self._entry(offset)
            if isinstance(entry, Manifest) and entry.position >= oldest:
                checkpoint = await self._assemble(entry)
                if checkpoint is not None:
                    return checkpoint
        return None

    async def publish(self, checkpoint: Checkpoint) -> None:
        """Append a checkpoint; it is valid once its manifest is appended."""
        chunks = chunks_of(checkpoint)
        offsets = [
            await self._log.append(self._name, encode_entry(chunk))
            for chunk in chunks
        ]
        manifest = manifest_of(checkpoint, chunks, tuple(offsets))
        await self._log.append(self._name, encode_entry(manifest))

    async def newest(
        self, known: NewestManifest | None
    ) -> NewestManifest | None:
        """Return the newest manifest, or ``known`` if it has not changed."""
        page = await self._log.read(self._name, start=0, limit=1)
        if page.end == page.oldest:
            return None
        if known is not None and page.end == known.offset + 1:
            return known
        entry = await self._entry(page.end - 1)
        if not isinstance(entry, Manifest):
            return known
        now = asyncio.get_running_loop().time()
        return NewestManifest(page.end - 1, entry.position, now)

    async def _assemble(self, manifest: Manifest) -> Checkpoint | None:
        entries = [await self._entry(offset) for offset in manifest.offsets]
        chunks = tuple(entry for entry in entries if isinstance(entry, Chunk))
        return assemble(manifest, chunks)

    async def _entry(self, offset: int) -> Chunk | Manifest | None:
        page = await self._log.read(self._name, start=offset, limit=1)
        if not page.entries:
            return None
        return decode_entry(page.entries[0].data)


class CheckpointPublisher:
    """Publishes a follower's state when the newest checkpoint is outdated."""

    def __init__(
        self,
        *,
        store: CheckpointStore,
        follower: Incarnation,
        position: Callable[[], int | None],
        checkpoint: Callable[[], Checkpoint],
    ) -> None:
        """Publish the state that ``checkpoint`` returns.

        :param position: returns the follower's offset, ``None`` while it is
            catching up
        """
        self._store = store
        self._position = position
        self._checkpoint = checkpoint
        self._started_at: float = 0
        self._newest: NewestManifest | None = None
        self._jitter = _jitter_of(follower)

    async def run(self) -> None:
        """Check the newest checkpoint periodically until cancelled."""
        self._started_at = asyncio.get_running_loop().time()
        await asyncio.sleep(CHECK_INTERVAL_S * (1 + self._jitter))
        while True:
            try:
                await self._publish_if_due()
            except FailureError:
                self._newest = None
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _publish_if_due(self) -> None:
        self._newest = await self._store.newest(self._newest)
        position = self._position()
        if position is not None and self._is_due(position):
            await self._store.publish(self._checkpoint())

    def _is_due(self, position: int) -> bool:
        newest = self._newest or NewestManifest(0, 0, self._started_at)
        now = asyncio.get_running_loop().time()
        is_too_old = now - newest.seen_at >= MAX_AGE_S
        is_behind = position - newest.position >= MAX_ENTRIES
        return position > 0 and (is_behind or is_too_old)


def _jitter_of(follower: Incarnation) -> float:
    return (
        xxhash.xxh64_intdigest(follower.encode()) % JITTER_STEPS / JITTER_STEPS
    )

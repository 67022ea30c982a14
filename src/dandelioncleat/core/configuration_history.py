"""The fold of the configuration stream: which patch made which version."""

import hashlib
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful

from dandelioncleat.core.configuration import (
    Configuration,
    empty_configuration,
)
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.patch import apply_patch
from dandelioncleat.core.patch_verdict import (
    AnyPatchVerdict,
    PatchAccepted,
    PatchConflict,
    PatchInvalid,
    PatchReused,
)
from dandelioncleat.core.record import Patch

MAX_VERSIONS_KEPT = 256
MAX_HISTORY_BYTES = 1024 * 1024
MAX_VERDICTS_KEPT = 1024


class VersionEntry(NamedTuple):
    """One accepted patch; ``appended_at`` is the log time in s."""

    version: int
    digest: Digest
    patch: Patch
    offset: int
    appended_at: float


class KnownPatch(NamedTuple):
    """The verdict of a patch, and its fingerprint to recognise repeats."""

    fingerprint: str
    verdict: AnyPatchVerdict


class ConfigurationHistory:
    """Holds the current version and a bounded number of earlier ones."""

    def __init__(self) -> None:
        """Start with version 0."""
        self.base = empty_configuration()
        self.current = self.base
        self.entries_by_version: dict[int, VersionEntry] = {}

    def add(self, entry: VersionEntry, after: Configuration) -> None:
        """Add the next version and drop the oldest beyond the limits."""
        self.current = after
        self.entries_by_version[entry.version] = entry
        while self._is_too_large():
            self._drop_oldest()

    def at(self, version: int) -> Configuration | None:
        """Return the configuration of a version, ``None`` if not kept."""
        if not self.base.version <= version <= self.current.version:
            return None
        configuration = self.base
        for number in range(self.base.version + 1, version + 1):
            patch = self.entries_by_version[number].patch
            configuration = apply_patch(configuration, patch).unwrap()
        return configuration

    def after(self, version: int) -> tuple[VersionEntry, ...] | None:
        """Return the entries after a version, ``None`` if too old."""
        if version < self.base.version:
            return None
        return tuple(
            entry
            for number, entry in self.entries_by_version.items()
            if number > version
        )

    def _is_too_large(self) -> bool:
        entries = self.entries_by_version.values()
        size = sum(len(entry.patch.body) for entry in entries)
        if size > MAX_HISTORY_BYTES and len(entries) > 1:
            return True
        return len(entries) > MAX_VERSIONS_KEPT

    def _drop_oldest(self) -> None:
        oldest = self.entries_by_version.pop(self.base.version + 1)
        self.base = apply_patch(self.base, oldest.patch).unwrap()


class ConfigurationFold:
    """Applies patches in log order.

    The first valid patch against the current version creates the next. A
    repeated patch gets the verdict of the first and has no further effect.
    Even after its verdict was dropped it cannot take effect again, because
    the version that it is against is no longer current.
    """

    def __init__(self) -> None:
        """Start with version 0 and no patch."""
        self.history = ConfigurationHistory()
        self.known_by_patch: dict[str, KnownPatch] = {}

    @property
    def current(self) -> Configuration:
        """Return the newest version."""
        return self.history.current

    def apply(
        self,
        offset: int,
        appended_at: float,
        producer: Incarnation,
        record: Patch,
    ) -> AnyPatchVerdict:
        """Decide on one patch, and apply it if it is accepted.

        :param offset: offset of the entry in the stream
        :param appended_at: log time of the append, in seconds
        :param producer: the process that appended the patch
        """
        known = self.known_by_patch.get(record.patch)
        if known is None:
            verdict = self._decide(offset, appended_at, record)
            self._remember(record, verdict)
            return verdict
        if known.fingerprint != _fingerprint(record):
            return PatchReused(record.patch)
        return known.verdict

    def snapshot(self) -> bytes:
        """Encode the state for a checkpoint."""
        state = _Snapshot(
            base=self.history.base,
            current=self.history.current,
            entries=tuple(self.history.entries_by_version.values()),
            known_by_patch=self.known_by_patch,
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a checkpoint."""
        state = msgspec.msgpack.decode(data, type=_Snapshot)
        history = ConfigurationHistory()
        history.base = state.base
        history.current = state.current
        history.entries_by_version = {
            entry.version: entry for entry in state.entries
        }
        self.history = history
        self.known_by_patch = state.known_by_patch

    def _decide(
        self,
        offset: int,
        appended_at: float,
        record: Patch,
    ) -> AnyPatchVerdict:
        if record.against != self.current.version:
            return self._conflict(record)
        after = apply_patch(self.current, record)
        if not is_successful(after):
            return PatchInvalid(record.against, after.failure())
        configuration = after.unwrap()
        entry = VersionEntry(
            configuration.version,
            configuration.digest,
            record,
            offset,
            appended_at,
        )
        self.history.add(entry, configuration)
        return PatchAccepted(configuration.version, configuration.digest)

    def _conflict(self, record: Patch) -> PatchConflict:
        winner = self.history.entries_by_version.get(record.against + 1)
        return PatchConflict(
            against=record.against,
            current=self.current.version,
            winner=winner.patch.patch if winner else '',
            operator=winner.patch.operator if winner else '',
        )

    def _remember(self, record: Patch, verdict: AnyPatchVerdict) -> None:
        known = KnownPatch(_fingerprint(record), verdict)
        self.known_by_patch[record.patch] = known
        if len(self.known_by_patch) > MAX_VERDICTS_KEPT:
            oldest = next(iter(self.known_by_patch))
            self.known_by_patch.pop(oldest)


class _Snapshot(NamedTuple):
    """The state of the fold as a checkpoint holds it."""

    base: Configuration
    current: Configuration
    entries: tuple[VersionEntry, ...]
    known_by_patch: dict[str, KnownPatch]


def _fingerprint(record: Patch) -> str:
    body = hashlib.sha256(record.body).hexdigest()
    return f'{record.against}:{body}'

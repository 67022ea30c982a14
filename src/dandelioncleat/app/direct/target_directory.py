"""Follows the platform's list of targets."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from functools import partial

import structlog

from dandelioncleat.app.direct.held_entries import HeldEntries
from dandelioncleat.app.direct.removed_targets import RemovedTargets
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.deployment import ColdStart, Service, TargetEntry
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.past_versions import PastVersions

# Targets whose entries expired in a store outage are listed again within about
# two seconds after it. Those that have left must get nothing after that time.
RELIST_GRACE_S = 1.8
# A read of the list waits up to half a second for changes.
MAX_SILENCE_S = 1.5

_logger = structlog.get_logger(__name__)

DecodeTarget = Callable[[str, bytes], TargetEntry | None]


class TargetDirectory:
    """Keeps the state of each listed target."""

    def __init__(
        self,
        decode: DecodeTarget,
        *,
        silence_s: Callable[[], float],
        on_entry: Callable[[TargetEntry], None] | None = None,
        is_evacuated: Callable[[str], bool] | None = None,
    ) -> None:
        """Initialise with a decoder of the platform's entries.

        :param silence_s: returns the time since the store last answered
        :param on_entry: called with each entry that is read and not outdated
        :param is_evacuated: returns whether nothing more is sent to a data
            centre; none is evacuated by default
        """
        self._is_evacuated = is_evacuated or _is_never_evacuated
        self._on_entry = on_entry
        self._decode = decode
        self._silence_s = silence_s
        self._states_by_id: dict[str, TargetState] = {}
        self._removed = RemovedTargets()
        self._held = HeldEntries(
            on_release=partial(self._apply_record, is_held=True)
        )
        self.services_by_name: Mapping[str, Service] = {}
        self._grace_until = float('-inf')
        self._past_versions = PastVersions()

    def set_services(self, services_by_name: Mapping[str, Service]) -> None:
        """Set the services of the current configuration."""
        self.services_by_name = services_by_name
        for state in self._states_by_id.values():
            state.kv_tokens = _kv_tokens(services_by_name, state.entry)
            state.cold.terms = _cold_start(services_by_name, state.entry)

    def available(self, service: str) -> list[TargetState]:
        """Return the targets of a service that get new requests."""
        return [
            state
            for state in self._states_by_id.values()
            if state.entry.service == service and self.is_open(state)
        ]

    def is_open(self, state: TargetState) -> bool:
        """Return whether a target may get new requests at all."""
        is_evacuated = self._is_evacuated(state.entry.data_centre)
        return state.accepts_new and not is_evacuated

    def recent_versions(self, service: str) -> set[str | None]:
        """Return all versions that may have begun a stream of late.

        Empty if they can't be known: this process has not followed the list
        for long enough, or the store is silent.
        """
        past = self._past_versions.of(service, _now())
        if past is None or self._silence_s() > MAX_SILENCE_S:
            return set()
        return past | {
            state.entry.software_version
            for state in self._states_by_id.values()
            if state.entry.service == service
        }

    def state(self, target: str) -> TargetState | None:
        """Return the state of a target, ``None`` if it is not listed."""
        return self._states_by_id.get(target)

    @property
    def states(self) -> Collection[TargetState]:
        """Return the states of all listed targets."""
        return self._states_by_id.values()

    def apply(self, change: TopicChange) -> None:
        """Apply changed entries."""
        was_silent = change.silence_s > MAX_SILENCE_S
        if was_silent or change.is_restored:
            self._grace_until = _now() + RELIST_GRACE_S
        if change.is_restored:
            change = self._held.without_removed(change, self._removed)
        if change.is_snapshot:
            self._past_versions.begin(_now())
            listed = {record.key for record in change.records if record.value}
            for target in self._states_by_id.keys() - listed:
                self._delist(target)
        for record in change.records:
            self._apply_record(record)

    def _apply_record(
        self, record: KeyedRecord, *, is_held: bool = False
    ) -> None:
        """Apply a record.

        :param is_held: whether it comes from the copy of a restored store
        """
        self._held.discard(record.key)
        if not record.value:
            self._delist(record.key)
            return
        entry = self._decode(record.key, record.value)
        if entry is None:
            _logger.warning('target entry is invalid', target=record.key)
            self._remove(record.key)
            return
        known = self._states_by_id.get(entry.id)
        is_late = self._removed.is_outdated(entry) or _is_late(entry, known)
        if is_late and not is_held:
            _log_late(entry)
            return
        self._set(entry)
        if self._on_entry is not None and not is_held:
            self._on_entry(entry)

    def _set(self, entry: TargetEntry) -> None:
        known = self._known_start(entry)
        if known is not None:
            # A target never takes back that it drains.
            is_draining = entry.is_draining or known.entry.is_draining
            entry = entry._replace(is_draining=is_draining)
            if _is_changed(known.entry, entry):
                _log_entry(entry)
                self._past_versions.note_end(known.entry, _now())
            known.entry = entry
            known.is_removed = False
            known.crash_mark.note_sign_of_life(_now())
            known.cold.note_stated(entry.cold_s, _now())
            self._states_by_id[entry.id] = known
            return
        _log_entry(entry)
        replaced = self._states_by_id.get(entry.id)
        if replaced is not None:
            self._past_versions.note_end(replaced.entry, _now())
        state = TargetState(
            entry,
            kv_tokens=_kv_tokens(self.services_by_name, entry),
            cold_start=_cold_start(self.services_by_name, entry),
        )
        state.cold.note_stated(entry.cold_s, _now())
        self._states_by_id[entry.id] = state

    def _known_start(self, entry: TargetEntry) -> TargetState | None:
        """Return the state of the start that an entry is about."""
        removed = self._removed.pop(entry.id)
        known = self._states_by_id.get(entry.id, removed)
        if known is None or known.entry.started_at != entry.started_at:
            return None
        return known

    def _delist(self, target: str) -> None:
        if target not in self._states_by_id:
            return
        delay_s = self._grace_until - _now()
        if delay_s <= 0:
            self._remove(target)
            return
        state = self._states_by_id[target]
        asyncio.get_running_loop().call_later(
            delay_s, self._remove_unless_relisted, target, state.entry
        )

    def _remove_unless_relisted(self, target: str, entry: TargetEntry) -> None:
        state = self._states_by_id.get(target)
        if state is not None and state.entry is entry:
            self._remove(target)

    def _remove(self, target: str) -> None:
        state = self._states_by_id.pop(target, None)
        if state is None:
            return
        _logger.info('target gone', target=target)
        self._past_versions.note_end(state.entry, _now())
        state.is_removed = True
        self._removed.add(state)


def state_of_start(
    directory: TargetDirectory, start: str
) -> TargetState | None:
    """Return the state of a start of a target, ``None`` if it is not listed."""
    state = directory.state(start.rpartition('/')[0])
    is_listed = state is not None and state.entry.start == start
    return state if is_listed else None


def _kv_tokens(
    services_by_name: Mapping[str, Service], entry: TargetEntry
) -> int:
    known = services_by_name.get(entry.service)
    if known is None or known.engine is None:
        return 0
    return known.engine.kv_tokens


def _cold_start(
    services_by_name: Mapping[str, Service], entry: TargetEntry
) -> ColdStart | None:
    known = services_by_name.get(entry.service)
    return None if known is None else known.cold_start


def _is_never_evacuated(_data_centre: str) -> bool:
    return False


def _is_changed(known: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether an entry says more than that its target lives."""
    renewed = known._replace(sequence=entry.sequence, cold_s=entry.cold_s)
    return renewed != entry


def _is_late(entry: TargetEntry, known: TargetState | None) -> bool:
    """Return whether the start of an entry has written newer ones."""
    if known is None or known.entry.start != entry.start:
        return False
    return entry.sequence < known.entry.sequence


def _log_late(entry: TargetEntry) -> None:
    _logger.info(
        'late entry of a target',
        target=entry.id,
        started_at=entry.started_at,
        sequence=entry.sequence,
        draining=entry.is_draining,
    )


def _log_entry(entry: TargetEntry) -> None:
    _logger.info(
        'target listed',
        target=entry.id,
        service=entry.service,
        address=entry.address,
        draining=entry.is_draining,
        software_version=entry.software_version,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()

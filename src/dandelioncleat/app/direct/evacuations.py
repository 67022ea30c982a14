"""Follows which data centres are evacuated.

While an operator's entry stands in the store, nothing more is sent to the
targets of its data centre. What runs there goes on. Each router follows the
entries in the topic of the configuration, so a router that starts knows them
before it takes requests.
"""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from dandelioncleat.app.direct.held_entries import RESTORED_HOLD_S
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.cold_start import ColdCause
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.ports.telemetry import Telemetry

# Bounds what malformed entries may have logged.
MAX_MALFORMED_KEYS = 100
MAX_LOGGED_KEY_LENGTH = 80

_logger = structlog.get_logger(__name__)

DecodeEvacuation = Callable[[str, bytes], str | None]


class Evacuations:
    """Keeps the evacuated data centres."""

    def __init__(
        self,
        decode: DecodeEvacuation,
        *,
        prefix: str,
        on_end: Callable[[str], None],
        telemetry: Telemetry,
    ) -> None:
        """Start without an evacuation.

        :param decode: returns the data centre of an entry, ``None`` if it is
            malformed
        :param prefix: what the keys of evacuations begin with
        :param on_end: called with a data centre whose evacuation has ended
        """
        self._decode = decode
        self._prefix = prefix
        self._on_end = on_end
        self._telemetry = telemetry
        self._data_centres_by_key: dict[str, str] = {}
        self._unlisted_keys: set[str] = set()
        self._malformed_keys: set[str] = set()
        self._unlisted_timer: asyncio.TimerHandle | None = None

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the data centres whose targets get nothing more."""
        return frozenset(self._data_centres_by_key.values())

    def includes(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._data_centres_by_key.values()

    def apply(self, change: TopicChange) -> None:
        """Apply changed entries."""
        if change.is_snapshot:
            self._apply_missing(change)
        for record in change.records:
            if record.key.startswith(self._prefix):
                self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        if not record.value:
            self._end(record.key)
            return
        data_centre = self._decode(record.key, record.value)
        if data_centre is None:
            self._log_malformed(record)
            return
        self._unlisted_keys.discard(record.key)
        if record.key not in self._data_centres_by_key:
            _logger.warning('data centre evacuated', data_centre=data_centre)
            self._set_gauge(data_centre, 1)
        self._data_centres_by_key[record.key] = data_centre

    def _apply_missing(self, change: TopicChange) -> None:
        """End the evacuations that a snapshot lacks.

        A restored store may lack the newest ones, which the operator writes
        again.
        """
        listed = {record.key for record in change.records if record.value}
        missing = self._data_centres_by_key.keys() - listed
        if self._unlisted_timer is not None:
            self._unlisted_timer.cancel()
        if not change.is_restored:
            for key in missing:
                self._end(key)
        elif missing:
            _logger.info(
                'restored store lacks evacuations', keys=sorted(missing)
            )
            loop = asyncio.get_running_loop()
            self._unlisted_timer = loop.call_later(
                RESTORED_HOLD_S, self._end_unlisted
            )
        self._unlisted_keys = set(missing)

    def _end_unlisted(self) -> None:
        for key in tuple(self._unlisted_keys):
            self._end(key)

    def _end(self, key: str) -> None:
        self._unlisted_keys.discard(key)
        data_centre = self._data_centres_by_key.pop(key, None)
        if data_centre is None:
            return
        _logger.warning('evacuation ended', data_centre=data_centre)
        self._set_gauge(data_centre, 0)
        self._on_end(data_centre)

    def _set_gauge(self, data_centre: str, count: int) -> None:
        self._telemetry.gauge(
            'direct.evacuations', count, data_centre=data_centre
        )

    def _log_malformed(self, record: KeyedRecord) -> None:
        is_known = record.key in self._malformed_keys
        if is_known or len(self._malformed_keys) >= MAX_MALFORMED_KEYS:
            return
        self._malformed_keys.add(record.key)
        _logger.warning(
            'evacuation entry is malformed',
            key=record.key[:MAX_LOGGED_KEY_LENGTH],
            bytes=len(record.value),
        )


def presume_cold(states: Iterable[TargetState], data_centre: str) -> None:
    """Take the targets of a data centre as cold, as nothing was sent to them.

    :param states: all listed targets
    """
    now = asyncio.get_running_loop().time()
    for state in states:
        if state.entry.data_centre == data_centre:
            state.cold.presume(ColdCause.EVACUATED, now)

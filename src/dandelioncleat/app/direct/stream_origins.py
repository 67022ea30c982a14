"""Remembers where streams began, and shares it with all routers.

A caller may resume a broken stream at any router, also after the one that
began it was killed. Origins are written to the store in batches, and read
only when a caller resumes a stream that this router does not know.
"""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

import structlog

from dandelioncleat.core.decoding import UnreadableError
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.keyed_record import KeyedRecord
from dandelioncleat.core.stream_origin import (
    StreamOrigin,
    decode_origins,
    encode_origins,
)
from dandelioncleat.ports.clock import Clock
from dandelioncleat.ports.store import (
    KeyedPage,
    KeyedStore,
    OutdatedReadError,
)

ORIGINS_TOPIC = 'streams'
# Streams that began in this time before a kill can't be resumed.
WRITE_INTERVAL_S = 0.2
# Each host writes its keys in turn, so a record is kept for 25 s; callers
# resume a stream sooner, as they wait for some seconds in all.
KEYS_PER_HOST = 128
# A stream may be resumed before its record is written.
FIND_LIMIT_S = 0.5
# A read that finds nothing also tells whether the store was restored.
READ_WAIT_S = 0.2
MAX_KNOWN = 20_000
MAX_OWN = 1_000

_logger = structlog.get_logger(__name__)

_Origins = OrderedDict[str, StreamOrigin]


class _Position(NamedTuple):
    """Where to read on; offsets count within an era of the store."""

    end: int
    era: int


class StreamOrigins:
    """Keeps the origins of the streams that callers may resume."""

    def __init__(self, store: KeyedStore, *, host: str, clock: Clock) -> None:
        """Initialise without any stream."""
        self._store = store
        self._host = host
        self._clock = clock
        self._known_by_key: _Origins = OrderedDict()
        self._own_by_key: _Origins = OrderedDict()
        self._unwritten_by_key: _Origins = OrderedDict()
        self._write_due = asyncio.Event()
        self._written_era: int | None = None
        self._reading = asyncio.Lock()
        self._position: _Position | None = None

    def note(self, key: str, origin: StreamOrigin) -> None:
        """Note that this router has passed on the first event of a stream."""
        _put(self._known_by_key, key, origin, limit=MAX_KNOWN)
        _put(self._own_by_key, key, origin, limit=MAX_OWN)
        _put(self._unwritten_by_key, key, origin, limit=MAX_OWN)
        self._write_due.set()

    async def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if it can't be known.

        Takes at most ``FIND_LIMIT_S``.
        """
        try:
            async with asyncio.timeout(FIND_LIMIT_S):
                while key not in self._known_by_key:
                    await self._read_for(key)
        except TimeoutError:
            _log_unknown(key, 'not in the store')
        except FailureError as error:
            _log_unknown(key, error.failure.text)
        return self._known_by_key.get(key)

    async def run(self) -> None:
        """Write origins to the store until cancelled."""
        while True:
            await self._write_due.wait()
            await asyncio.sleep(WRITE_INTERVAL_S)
            self._write_due.clear()
            await self._write()

    async def _read_for(self, key: str) -> None:
        """Read more records, unless another task has read the key."""
        async with self._reading:
            if key in self._known_by_key:
                return
            page = await self._next_page()
            self._position = _Position(page.end, page.era)
            for record in page.records:
                self._learn(record)

    async def _next_page(self) -> KeyedPage:
        position = self._position
        if position is None:
            return await self._store.newest(ORIGINS_TOPIC)
        try:
            page = await self._store.read(
                ORIGINS_TOPIC, start=position.end, wait_s=READ_WAIT_S
            )
        except OutdatedReadError:
            return await self._store.newest(ORIGINS_TOPIC)
        if page.era != position.era:
            return await self._store.newest(ORIGINS_TOPIC)
        return page

    def _learn(self, record: KeyedRecord) -> None:
        try:
            origins_by_key = decode_origins(record.value)
        except UnreadableError as error:
            _logger.warning(
                'stream origins cannot be decoded',
                key=record.key,
                reason=str(error),
            )
            return
        for key, origin in origins_by_key.items():
            _put(self._known_by_key, key, origin, limit=MAX_KNOWN)

    async def _write(self) -> None:
        origins_by_key = self._unwritten_by_key
        self._unwritten_by_key = OrderedDict()
        number = int(self._clock.wall() / WRITE_INTERVAL_S) % KEYS_PER_HOST
        record = (f'{self._host}/{number}', encode_origins(origins_by_key))
        try:
            appended = await self._store.append(ORIGINS_TOPIC, (record,))
        except FailureError as error:
            _logger.debug('stream origins not written', reason=str(error))
            self._write_again(origins_by_key)
            return
        if self._written_era not in {None, appended.era}:
            # The store may have lost what this router wrote.
            self._write_again(self._own_by_key)
        self._written_era = appended.era

    def _write_again(self, origins_by_key: _Origins) -> None:
        newer_by_key = self._unwritten_by_key
        self._unwritten_by_key = OrderedDict(origins_by_key)
        for key, origin in newer_by_key.items():
            _put(self._unwritten_by_key, key, origin, limit=MAX_OWN)
        self._write_due.set()


def _put(
    origins_by_key: _Origins, key: str, origin: StreamOrigin, *, limit: int
) -> None:
    """Add an origin; the oldest one beyond the limit is dropped."""
    origins_by_key[key] = origin
    if len(origins_by_key) > limit:
        origins_by_key.popitem(last=False)


def _log_unknown(key: str, reason: str) -> None:
    _logger.info('origin of a stream unknown', stream=key, reason=reason)

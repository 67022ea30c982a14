"""Reads shared streams through a few routers of each data centre.

Every process needs the configuration and the fleet. A few routers wait at
the log for new entries; the other processes wait at these routers, so that
the log serves a handful of waiting readers instead of the whole fleet. The
entries are the log's own, so each process comes to its own verdicts.
"""

import asyncio
from collections.abc import Callable

from dandelioncleat.app.signal import Signal
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.message import (
    AskEntries,
    Refusal,
    StreamEntries,
    StreamEntry,
)
from dandelioncleat.core.relay import LiveRouter, relay_order, relays_of
from dandelioncleat.core.stream_tail import StreamTail
from dandelioncleat.ports.log import Entry, Log, Page
from dandelioncleat.ports.peer import Peers

RELAY_WAIT_S = 1.5
RELAY_TIMEOUT_S = 2.0
LOG_WAIT_S = 1.5
LOG_TIMEOUT_S = 2.0
AVOID_S = 10.0
TELL_INTERVAL_S = 0.25
MAX_LIMIT = 500

Routers = Callable[[], tuple[LiveRouter, ...]]


class LogRelay:
    """Implements the ``Log`` port over the log itself and the relays.

    Reads that do not wait, as at start-up, and all appends go to the log.
    So does a read that no relay answers. A relay to which the log gives no
    answer in time refuses to answer others, but goes on waiting itself.
    """

    def __init__(
        self,
        *,
        log: Log,
        incarnation: Incarnation,
        data_centre: str,
        peers: Peers,
        streams: tuple[str, ...],
    ) -> None:
        """Take the log, this process's place and the streams to relay."""
        self.routers: Routers = _no_routers
        self.reads_by_source = {'log': 0, 'relay': 0}
        self._log = log
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._peers = peers
        self._streams_by_name = {name: _Stream() for name in streams}
        self._avoid_until_by_address: dict[str, float] = {}

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry to the log and return its offset."""
        return await self._log.append(stream, data)

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = MAX_LIMIT,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet."""
        shared = self._streams_by_name.get(stream)
        if shared is None:
            return await self._log.read(
                stream,
                start=start,
                limit=limit,
                wait_s=wait_s,
            )
        ask = AskEntries(stream, start, limit, int(wait_s * 1000))
        if wait_s > 0:
            return await self._read_until_told(shared, ask)
        return await self._read_log(shared, ask)

    def tell(self, stream: str, address: str) -> None:
        """Have a waiting read ask a peer that knows of newer entries."""
        shared = self._streams_by_name[stream]
        now = asyncio.get_running_loop().time()
        if now >= shared.told_again_at:
            shared.told_again_at = now + TELL_INTERVAL_S
            shared.told_by = address
            shared.told.set()

    async def answer(self, ask: AskEntries) -> StreamEntries | Refusal:
        """Answer another process from what this one has read."""
        shared = self._streams_by_name.get(ask.stream)
        if shared is None:
            return self._refuse(f'{ask.stream} is not relayed')
        if shared.waits_at_log and ask.start == shared.tail.end:
            await shared.wait(min(ask.wait_ms / 1000, RELAY_WAIT_S))
        limit = min(ask.limit, MAX_LIMIT)
        entries = shared.tail.from_offset(ask.start, limit)
        if entries or (shared.waits_at_log and entries is not None):
            return StreamEntries(shared.tail.end, entries)
        return self._refuse(f'{ask.stream} is not read here')

    async def _read_until_told(
        self,
        shared: '_Stream',
        ask: AskEntries,
    ) -> Page:
        reading = asyncio.ensure_future(self._read_any(shared, ask))
        told = asyncio.ensure_future(shared.told.wait())
        try:
            await asyncio.wait(
                (reading, told),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if reading.done():
                return reading.result()
        finally:
            reading.cancel()
            told.cancel()
        shared.told.clear()
        page = await self._ask(shared.told_by, shared, ask)
        return page or await self._read_any(shared, ask)

    async def _read_any(self, shared: '_Stream', ask: AskEntries) -> Page:
        relay = self._relay()
        if relay is not None:
            page = await self._ask(relay.address, shared, ask)
            if page is not None:
                return page
        return await self._read_log(shared, ask)

    async def _read_log(self, shared: '_Stream', ask: AskEntries) -> Page:
        shared.waits_at_log = ask.start == shared.tail.end
        lapse = asyncio.get_running_loop().call_later(
            LOG_TIMEOUT_S,
            shared.stop_waiting,
        )
        try:
            page = await self._log.read(
                ask.stream,
                start=ask.start,
                limit=ask.limit,
                wait_s=min(ask.wait_ms / 1000, LOG_WAIT_S),
            )
        except FailureError:
            shared.stop_waiting()
            raise
        finally:
            lapse.cancel()
        self.reads_by_source['log'] += 1
        shared.note(ask.start, page.entries)
        shared.waits_at_log = shared.tail.end == page.end
        return page

    async def _ask(
        self,
        address: str,
        shared: '_Stream',
        ask: AskEntries,
    ) -> Page | None:
        shared.waits_at_log = False
        try:
            reply = await self._peers.call(
                address,
                ask,
                timeout_s=RELAY_TIMEOUT_S,
            )
        except FailureError:
            reply = None
        if not isinstance(reply, StreamEntries) or reply.end < ask.start:
            now = asyncio.get_running_loop().time()
            self._avoid_until_by_address[address] = now + AVOID_S
            return None
        self.reads_by_source['relay'] += 1
        entries = tuple(Entry(*entry) for entry in reply.entries)
        shared.note(ask.start, entries)
        return Page(ask.start, reply.end, entries)

    def _relay(self) -> LiveRouter | None:
        relays = relays_of(self._data_centre, self.routers())
        if any(relay.incarnation == self._incarnation for relay in relays):
            return None
        now = asyncio.get_running_loop().time()
        for relay in relay_order(self._incarnation, relays):
            if self._avoid_until_by_address.get(relay.address, 0) <= now:
                return relay
        return None

    def _refuse(self, text: str) -> Refusal:
        return Refusal(Code.NOT_HOME, 'answer', self._incarnation, text)


class _Stream:
    """What this process has of a stream, and who waits for more of it."""

    def __init__(self) -> None:
        self.tail = StreamTail()
        self.waits_at_log = False
        self.told = asyncio.Event()
        self.told_by = ''
        self.told_again_at: float = 0
        self._changed = Signal()

    def note(self, start: int, entries: tuple[Entry, ...]) -> None:
        self.tail.note(start, (StreamEntry(*entry) for entry in entries))
        if entries:
            self.notify()

    def stop_waiting(self) -> None:
        self.waits_at_log = False
        self.notify()

    def notify(self) -> None:
        self._changed.notify()

    async def wait(self, timeout_s: float) -> None:
        await self._changed.wait(timeout_s)


def _no_routers() -> tuple[LiveRouter, ...]:
    return ()

"""Reads the cache events of model engines."""

from typing import Annotated

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, call
from dandelioncleat.core.cache_update import CacheUpdate, HeldPart
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.failure import Code
from dandelioncleat.platform.names import CACHE_EVENTS_PATH, LONG_POLL_MS
from dandelioncleat.platform.notices import target_notice
from dandelioncleat.platform.occupancy import occupancy_in
from dandelioncleat.ports.cache_events import CachePoll

SLACK_S = 1.0
# A target lists its newest events only, some tens of bytes each.
MAX_EVENTS_BYTES = 512 * 1024
OK = 200
_MS_PER_S = 1000

MAX_TOKENS = 2**53
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
_Event = tuple[int, str, str, str, _Tokens, str]
"""Number, ``+`` or ``-``, an unused field, part, cached tokens, model."""


class _Events(msgspec.Struct):
    """``lost`` says that events before the first one were dropped."""

    epoch: str | int
    next: int
    lost: bool
    events: list[_Event]


_DECODER = msgspec.json.Decoder(_Events)


class HttpCacheEvents:
    """Implements the ``CacheEventSource`` port over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Initialise with the session for calls to targets."""
        self._session = session

    async def cache_update(
        self, target: TargetEntry, *, start: int, wait_s: float
    ) -> CachePoll:
        """Return the changes from a position on."""
        origin = FailureContext(Code.TARGET, CACHE_EVENTS_PATH, target.id)
        reply = await call(
            self._session,
            'GET',
            f'http://{target.address}{CACHE_EVENTS_PATH}',
            context=origin,
            timeout_s=wait_s + SLACK_S,
            max_bytes=MAX_EVENTS_BYTES,
            params={'since': str(start)},
            headers={LONG_POLL_MS: str(int(wait_s * _MS_PER_S))},
        )
        notice = target_notice(reply.status, reply.headers)
        occupancy = occupancy_in(reply.headers)
        if reply.status != OK:
            return CachePoll(None, notice, occupancy)
        try:
            decoded = decode_bytes(_DECODER.decode, reply.body)
        except UnreadableError as error:
            raise origin.failure(error) from error
        return CachePoll(_update(decoded), notice, occupancy)


def _update(decoded: _Events) -> CacheUpdate:
    return CacheUpdate(
        epoch=str(decoded.epoch),
        position=decoded.next,
        is_gap=decoded.lost,
        changes=tuple(_change(event) for event in decoded.events),
    )


def _change(event: _Event) -> HeldPart:
    return HeldPart(event[3], event[4])

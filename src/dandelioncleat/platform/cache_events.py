"""Reads the cache events of model engines."""

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, call
from dandelioncleat.core.cache_update import CacheUpdate, HeldPart
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.failure import Code
from dandelioncleat.platform.names import CACHE_EVENTS_PATH, WAIT_LIMIT

SLACK_S = 1.0
OK = 200
_MS = 1000

_Event = tuple[int, str, str, str, int, str]
"""Number, ``+`` or ``-``, nothing, part, tokens kept now, model."""


class _Events(msgspec.Struct):
    """``lost`` says that events before the first were dropped."""

    epoch: str | int
    next: int
    lost: bool
    events: list[_Event]


_DECODER = msgspec.json.Decoder(_Events)


class HttpCacheEvents:
    """Implements the ``CacheEvents`` port."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Take the session for calls to targets."""
        self._session = session

    async def cache_news(
        self, target: TargetEntry, *, start: int, wait_s: float
    ) -> CacheUpdate:
        """Return the changes from a position on."""
        origin = FailureContext(Code.TARGET, CACHE_EVENTS_PATH, target.id)
        reply = await call(
            self._session,
            'GET',
            f'http://{target.address}{CACHE_EVENTS_PATH}',
            context=origin,
            timeout_s=wait_s + SLACK_S,
            params={'since': str(start)},
            headers={WAIT_LIMIT: str(int(wait_s * _MS))},
        )
        if reply.status != OK:
            raise origin.failure(ValueError(f'HTTP status {reply.status}'))
        try:
            told = _DECODER.decode(reply.body)
        except msgspec.DecodeError as error:
            raise origin.failure(error) from error
        return CacheUpdate(
            epoch=str(told.epoch),
            position=told.next,
            is_gap=told.lost,
            changes=tuple(_change(event) for event in told.events),
        )


def _change(event: _Event) -> HeldPart:
    return HeldPart(event[3], event[4])

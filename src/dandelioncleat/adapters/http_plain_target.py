"""A plain service as a target, over HTTP."""

from collections.abc import AsyncIterator

import aiohttp

from dandelioncleat.adapters._http_call import CALL_ERRORS
from dandelioncleat.adapters._target_http import (
    READ_STEP,
    RUN_TIMEOUT,
    TargetHttp,
    run_headers,
)
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import RunId
from dandelioncleat.ports.target import (
    CacheEvents,
    Ended,
    Piece,
    TargetCall,
    TargetEvent,
    TargetLoad,
)

UNCOUNTED: int | None = None
# A faulty service may send an endless answer.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HttpPlainTarget:
    """Implements ``TargetClient`` for a plain service."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Take the session to call with and the service's base URL."""
        self._target = TargetHttp(session, url)

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer, ``Ended`` last."""
        try:
            async with self._target.session.request(
                call.method,
                self._target.url + call.path,
                data=call.body,
                headers=run_headers(call),
                timeout=RUN_TIMEOUT,
            ) as response:
                self._target.check_fence(response.status, response.headers)
                size = 0
                async for data in response.content.iter_any():
                    size += len(data)
                    self._check_size(size)
                    yield Piece(data, 0)
                yield _end(response)
        except CALL_ERRORS as error:
            raise self._target.failure_context(READ_STEP).failure(
                error
            ) from error

    def _check_size(self, size: int) -> None:
        if size > MAX_ANSWER_BYTES:
            raise failure_error(
                Code.TARGET,
                step=READ_STEP,
                peer=self._target.url,
                text=f'the answer exceeds {MAX_ANSWER_BYTES} bytes',
            )

    async def cancel(self, run: RunId) -> Ended | None:
        """Return ``None``; a call that has begun runs to its end."""

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Return ``None``; a plain service has no tokens."""
        return UNCOUNTED

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        return await self._target.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return no events."""
        return CacheEvents(start, gap=False, stored=(), evicted=())

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        return await self._target.fence(number)


def _end(response: aiohttp.ClientResponse) -> Ended:
    content_type = response.headers.get('Content-Type', '')
    return Ended(response.status, content_type, 0, 0, 'stop')

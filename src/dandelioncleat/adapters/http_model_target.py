"""A model engine as a target, over the OpenAI-compatible HTTP API.

Besides completions it uses ``/tokenize``, ``/load``, ``/cache_events``,
``/orders/fence`` and ``/runs/{run}`` (to cancel a run).
"""

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from dandelioncleat.adapters._completion_events import CompletionParser
from dandelioncleat.adapters._http_call import CALL_ERRORS, read_bounded
from dandelioncleat.adapters._named_json import decode_named
from dandelioncleat.adapters._target_http import (
    READ_STEP,
    RUN_TIMEOUT,
    TargetHttp,
    run_headers,
)
from dandelioncleat.adapters.run_text import run_text
from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.core.event_stream import MAX_EVENT_BYTES
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import RunId
from dandelioncleat.ports.target import (
    CacheEvents,
    Ended,
    Piece,
    TargetCall,
    TargetEvent,
    TargetLoad,
)

TEXT_TYPE = 'text/plain; charset=utf-8'
JSON_TYPE = 'application/json'
BAD_REQUEST = 400
RUN_ERRORS = (*CALL_ERRORS, msgspec.MsgspecError)
STREAM_OPTIONS = {'include_usage': True, 'continuous_usage_stats': True}


class _Count(msgspec.Struct):
    """The answer of the tokenizer."""

    count: int


_BODY_DECODER = msgspec.json.Decoder(dict[str, Any])
_COUNT_DECODER = msgspec.json.Decoder(_Count)


class HttpModelTarget:
    """Implements ``TargetClient`` for a model engine."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Take the session to call with and the engine's base URL."""
        self._target = TargetHttp(session, url)

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer, ``Ended`` last."""
        body = _engine_body(call)
        if body is None:
            yield Piece(b'{"error": {"message": "not a JSON object"}}', 0)
            yield Ended(BAD_REQUEST, JSON_TYPE, 0, 0, 'error')
            return
        try:
            async with self._target.session.post(
                self._target.url + call.path,
                data=body,
                headers=run_headers(call),
                timeout=RUN_TIMEOUT,
            ) as response:
                self._target.check_fence(response.status, response.headers)
                async for event in self._events(response):
                    yield event
        except RUN_ERRORS as error:
            raise self._target.failure_context(READ_STEP).failure(
                error
            ) from error

    async def cancel(self, run: RunId) -> Ended | None:
        """Stop a run and return its final counts; its stream then ends."""
        path = f'/runs/{run_text(run)}'
        body = await self._target.control('DELETE', path, 'cancel')
        try:
            return decode_named(body, Ended)
        except msgspec.MsgspecError:
            return None

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Count a prompt's tokens; ``None`` if the target cannot."""
        try:
            body = await self._target.control(
                'POST', '/tokenize', 'tokenize', data=call.body
            )
            return decode_bytes(_COUNT_DECODER.decode, body).count
        except (FailureError, msgspec.MsgspecError):
            return None

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        return await self._target.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return the cache events from a position on."""
        body = await self._target.control(
            'GET', f'/cache_events?start={start}', 'cache_events'
        )
        try:
            return decode_named(body, CacheEvents)
        except msgspec.MsgspecError as error:
            raise self._target.failure_context('cache_events').failure(
                error
            ) from error

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        return await self._target.fence(number)

    async def _events(
        self,
        response: aiohttp.ClientResponse,
    ) -> AsyncIterator[TargetEvent]:
        if not response.ok:
            yield Piece(await read_bounded(response), 0)
            yield Ended(response.status, JSON_TYPE, 0, 0, 'error')
            return
        events = CompletionParser()
        async for data in response.content.iter_any():
            piece = events.feed(data)
            if piece is not None:
                yield piece
            if events.incomplete_bytes > MAX_EVENT_BYTES:
                raise failure_error(
                    Code.TARGET,
                    step=READ_STEP,
                    peer=self._target.url,
                    text=f'an event exceeds {MAX_EVENT_BYTES} bytes',
                )
        if not events.is_done:
            raise failure_error(
                Code.TARGET,
                step=READ_STEP,
                peer=self._target.url,
                text='the stream ended before [DONE]',
            )
        yield Ended(
            response.status,
            TEXT_TYPE,
            events.prompt_tokens,
            events.output_tokens,
            events.reason,
        )


def _engine_body(call: TargetCall) -> bytes | None:
    try:
        body = decode_bytes(_BODY_DECODER.decode, call.body)
    except msgspec.MsgspecError:
        return None
    body.pop('max_completion_tokens', None)
    body.update(
        stream=True,
        stream_options=STREAM_OPTIONS,
        max_tokens=call.cap,
        priority=call.priority,
    )
    return msgspec.json.encode(body)

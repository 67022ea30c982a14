"""Relays the events of an answer to the caller's connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from http import HTTPStatus
from typing import NamedTuple

from aiohttp import web

from dandelioncleat.adapters._caller_answer import (
    DONE_EVENT,
    CompletionEncoder,
    TextDecoder,
    encode_event,
    outcome_headers,
)
from dandelioncleat.adapters._caller_error import (
    JSON_TYPE,
    error_document,
    failure_response,
)
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.request import (
    AnswerEnd,
    AnswerEvent,
    AnswerPiece,
    RequestOutcome,
)

WRITE_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
EVENT_STREAM = 'text/event-stream'

Events = AsyncIterator[AnswerEvent]


class CompletedAnswer(NamedTuple):
    """An answer that was read to its end."""

    data: bytes
    end: AnswerEnd


async def read_answer(events: Events) -> CompletedAnswer:
    """Read an answer to its end; drop data beyond the size limit."""
    data = bytearray()
    async with aclosing(events):  # type: ignore[type-var]
        async for event in events:
            if isinstance(event, AnswerEnd):
                return CompletedAnswer(
                    bytes(data), _limit_size(event, len(data))
                )
            if len(data) <= MAX_ANSWER_BYTES:
                data += event.data
    raise RuntimeError('the answer stream ended without AnswerEnd')


async def send_document(
    events: Events, encoder: CompletionEncoder
) -> web.Response:
    """Answer with one document: a chat or a completion."""
    data, end = await read_answer(events)
    if end.outcome is not RequestOutcome.ANSWERED:
        return with_outcome_headers(
            failure_response(end, encoder.key), end, encoder.key
        )
    if end.status != HTTPStatus.OK:
        return _target_error_response(data, end, encoder.key)
    text = data.decode('utf-8', 'replace')
    response = web.Response(
        body=encoder.complete(text, end),
        content_type=JSON_TYPE,
    )
    return with_outcome_headers(response, end, encoder.key)


async def send_raw(events: Events, key: str) -> web.Response:
    """Answer with the target's status and body unchanged."""
    data, end = await read_answer(events)
    if end.outcome is not RequestOutcome.ANSWERED:
        return with_outcome_headers(failure_response(end, key), end, key)
    response = web.Response(status=end.status or HTTPStatus.OK, body=data)
    if end.content_type:
        response.headers['Content-Type'] = end.content_type
    return with_outcome_headers(response, end, key)


def with_outcome_headers(
    response: web.Response, end: AnswerEnd, key: str
) -> web.Response:
    """Add the headers that say how the request ended."""
    response.headers.update(outcome_headers(end, key))
    return response


class StreamRelay:
    """Writes an answer as server-sent events, as it arrives.

    The response starts at the first token, so that a request that does not
    run can still be refused with an error status.
    """

    def __init__(
        self,
        request: web.Request,
        encoder: CompletionEncoder,
        *,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> None:
        """Take the caller's request.

        :param timeout_s: limit for each write to the caller, in seconds
        """
        self._request = request
        self._encoder = encoder
        self._timeout_s = timeout_s
        self._decoder = TextDecoder()
        self._pending = bytearray()
        self._response: web.StreamResponse | None = None

    async def send(self, events: Events) -> web.StreamResponse:
        """Relay all events; raise ``ConnectionError`` if the caller is gone."""
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if isinstance(event, AnswerEnd):
                    return await self._finish(event)
                await self._relay(event)
        raise RuntimeError('the answer stream ended without AnswerEnd')

    async def _relay(self, piece: AnswerPiece) -> None:
        self._pending += piece.data
        # An error body of the target has no tokens and is no answer.
        if piece.tokens or self._response is not None:
            await self._flush(await self._open())

    async def _flush(self, response: web.StreamResponse) -> None:
        text = self._decoder.feed(bytes(self._pending))
        self._pending.clear()
        if text:
            await self._write(response, self._encoder.event(text))

    async def _open(self) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse()
            response.content_type = EVENT_STREAM
            response.headers['Cache-Control'] = 'no-cache'
            response.headers['X-Request-Key'] = self._encoder.key
            await response.prepare(self._request)
            self._response = response
        return self._response

    async def _finish(self, end: AnswerEnd) -> web.StreamResponse:
        is_answered = end.outcome is RequestOutcome.ANSWERED
        if is_answered and end.status == HTTPStatus.OK:
            response = await self._open()
            await self._flush(response)
            await self._write(
                response,
                self._encoder.last_event(end) + DONE_EVENT,
            )
        elif self._response is None:
            return self._error_response(end)
        else:
            response = self._response
            await self._write(response, self._error_event(end))
        await response.write_eof()
        return response

    def _error_response(self, end: AnswerEnd) -> web.Response:
        key = self._encoder.key
        if end.outcome is RequestOutcome.ANSWERED:
            return _target_error_response(bytes(self._pending), end, key)
        return with_outcome_headers(failure_response(end, key), end, key)

    def _error_event(self, end: AnswerEnd) -> bytes:
        failure = end.failure or _target_failure(end)
        key = self._encoder.key
        return encode_event(error_document(failure, end.outcome, key))

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                await response.write(data)
        except TimeoutError as error:
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            raise ConnectionResetError(
                'the write to the caller timed out'
            ) from error


def _limit_size(end: AnswerEnd, size: int) -> AnswerEnd:
    if size <= MAX_ANSWER_BYTES:
        return end
    failure = Failure(
        Code.TOO_LARGE,
        'answer',
        end.target,
        f'the answer exceeds {MAX_ANSWER_BYTES} bytes',
    )
    return end._replace(outcome=RequestOutcome.UNKNOWN, failure=failure)


def _target_failure(end: AnswerEnd) -> Failure:
    return Failure(
        Code.TARGET,
        'run',
        end.target,
        f'the target answered with HTTP status {end.status}',
    )


def _target_error_response(
    data: bytes, end: AnswerEnd, key: str
) -> web.Response:
    """Forward a target's 4xx response; report any other as a failure."""
    is_client_error = (
        HTTPStatus.BAD_REQUEST <= end.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    if is_client_error:
        response = web.Response(
            status=end.status,
            body=data,
            content_type=JSON_TYPE,
        )
    else:
        failed = end._replace(failure=_target_failure(end))
        response = failure_response(failed, key)
    return with_outcome_headers(response, end, key)

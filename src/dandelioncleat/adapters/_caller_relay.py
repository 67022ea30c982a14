"""Relays the events of an answer to the caller's connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from http import HTTPStatus
from typing import NamedTuple

from aiohttp import web

from dandelioncleat.adapters._caller_answer import (
    DONE_EVENT,
    Shape,
    TextDecoder,
    event_of,
    headers_of,
)
from dandelioncleat.adapters._caller_error import (
    JSON_TYPE,
    ended,
    error_document,
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


class WholeAnswer(NamedTuple):
    """An answer that was read to its end."""

    data: bytes
    end: AnswerEnd


async def read_whole(events: Events) -> WholeAnswer:
    """Read an answer to its end; what follows the bound is not kept."""
    data = bytearray()
    async with aclosing(events):  # type: ignore[type-var]
        async for event in events:
            if isinstance(event, AnswerEnd):
                return WholeAnswer(bytes(data), _checked(event, len(data)))
            if len(data) <= MAX_ANSWER_BYTES:
                data += event.data
    raise RuntimeError('the answer had no end')


async def send_whole(events: Events, shape: Shape) -> web.Response:
    """Answer with one document in the shape of the caller's request."""
    data, end = await read_whole(events)
    if end.outcome is not RequestOutcome.ANSWERED:
        return with_facts(ended(end, shape.key), end, shape.key)
    if end.status != HTTPStatus.OK:
        return _target_refusal(data, end, shape.key)
    text = data.decode('utf-8', 'replace')
    response = web.Response(
        body=shape.whole(text, end),
        content_type=JSON_TYPE,
    )
    return with_facts(response, end, shape.key)


async def send_raw(events: Events, key: str) -> web.Response:
    """Answer with the target's own status and body."""
    data, end = await read_whole(events)
    if end.outcome is not RequestOutcome.ANSWERED:
        return with_facts(ended(end, key), end, key)
    response = web.Response(status=end.status or HTTPStatus.OK, body=data)
    if end.content_type:
        response.headers['Content-Type'] = end.content_type
    return with_facts(response, end, key)


def with_facts(
    response: web.Response, end: AnswerEnd, key: str
) -> web.Response:
    """Add the headers that say how the request ended."""
    response.headers.update(headers_of(end, key))
    return response


class StreamRelay:
    """Writes an answer as server-sent events, as it arrives.

    The response is opened by the first token, so that a request that does
    not run is refused with its own status.
    """

    def __init__(
        self,
        request: web.Request,
        shape: Shape,
        *,
        timeout_s: float = WRITE_TIMEOUT_S,
    ) -> None:
        """Take the caller's request.

        :param timeout_s: time that the caller may take to read, in seconds
        """
        self._request = request
        self._shape = shape
        self._timeout_s = timeout_s
        self._decoder = TextDecoder()
        self._held = bytearray()
        self._response: web.StreamResponse | None = None

    async def send(self, events: Events) -> web.StreamResponse:
        """Relay all events; raise ``ConnectionError`` if the caller left."""
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if isinstance(event, AnswerEnd):
                    return await self._finish(event)
                await self._relay(event)
        raise RuntimeError('the answer had no end')

    async def _relay(self, piece: AnswerPiece) -> None:
        self._held += piece.data
        # A target's error has no tokens; it is not part of an answer.
        if piece.tokens or self._response is not None:
            await self._flush(await self._opened())

    async def _flush(self, response: web.StreamResponse) -> None:
        text = self._decoder.feed(bytes(self._held))
        self._held.clear()
        if text:
            await self._write(response, self._shape.event(text))

    async def _opened(self) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse()
            response.content_type = EVENT_STREAM
            response.headers['Cache-Control'] = 'no-cache'
            response.headers['X-Request-Key'] = self._shape.key
            await response.prepare(self._request)
            self._response = response
        return self._response

    async def _finish(self, end: AnswerEnd) -> web.StreamResponse:
        is_answered = end.outcome is RequestOutcome.ANSWERED
        if is_answered and end.status == HTTPStatus.OK:
            response = await self._opened()
            await self._flush(response)
            await self._write(
                response,
                self._shape.last_event(end) + DONE_EVENT,
            )
        elif self._response is None:
            return self._refused(end)
        else:
            response = self._response
            await self._write(response, self._error_event(end))
        await response.write_eof()
        return response

    def _refused(self, end: AnswerEnd) -> web.Response:
        key = self._shape.key
        if end.outcome is RequestOutcome.ANSWERED:
            return _target_refusal(bytes(self._held), end, key)
        return with_facts(ended(end, key), end, key)

    def _error_event(self, end: AnswerEnd) -> bytes:
        failure = end.failure or _target_failure(end)
        key = self._shape.key
        return event_of(error_document(failure, end.outcome, key))

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                await response.write(data)
        except TimeoutError as error:
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            raise ConnectionResetError('the caller reads too slowly') from error


def _checked(end: AnswerEnd, size: int) -> AnswerEnd:
    if size <= MAX_ANSWER_BYTES:
        return end
    failure = Failure(
        Code.TOO_LARGE,
        'answer',
        end.target,
        f'the answer has more than {MAX_ANSWER_BYTES} bytes',
    )
    return end._replace(outcome=RequestOutcome.UNKNOWN, failure=failure)


def _target_failure(end: AnswerEnd) -> Failure:
    return Failure(
        Code.TARGET,
        'run',
        end.target,
        f'the target answered {end.status}',
    )


def _target_refusal(data: bytes, end: AnswerEnd, key: str) -> web.Response:
    """Pass a target's own refusal of a body on; its faults are hidden."""
    is_callers_fault = (
        HTTPStatus.BAD_REQUEST <= end.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    if is_callers_fault:
        response = web.Response(
            status=end.status,
            body=data,
            content_type=JSON_TYPE,
        )
    else:
        failed = end._replace(failure=_target_failure(end))
        response = ended(failed, key)
    return with_facts(response, end, key)

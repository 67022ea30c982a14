"""Writes answers to callers."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext

from aiohttp import hdrs, web

from dandelioncleat.adapters.connection_reset import reset_connection
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRefusal,
    RefusalReason,
    ResponseHead,
)
from dandelioncleat.platform import names
from dandelioncleat.platform.caller_presence import CHUNK_START
from dandelioncleat.platform.close_delimited import (
    CloseDelimitedResponse,
    begin_close_delimited,
    end_close_delimited,
    is_close_delimited,
)
from dandelioncleat.platform.half_closed_connection import HalfClosedConnection

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# A caller that reads late leaves at most one such piece unsent, in bytes.
PIECE_BYTES = 32 * 1024

# The statuses of refusals; some differ if a target may have run the request.
_STATUS_BY_REASON = {
    RefusalReason.NO_CONFIGURATION: UNAVAILABLE,
    RefusalReason.CONFIGURATION_UNCONFIRMED: UNAVAILABLE,
    RefusalReason.CONFIGURATION_BEHIND: UNAVAILABLE,
    RefusalReason.CONFIGURATION_AHEAD: UNAVAILABLE,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.BAD_KEY: 401,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.NO_MEMORY: UNAVAILABLE,
    RefusalReason.BODY_LATE: 408,
    RefusalReason.PREPAID_SPENT: 402,
    RefusalReason.NO_TOKENS_HERE: UNAVAILABLE,
    RefusalReason.BALANCE_UNPROVEN: UNAVAILABLE,
    RefusalReason.NO_TARGET: UNAVAILABLE,
    RefusalReason.NO_ROOM: UNAVAILABLE,
    RefusalReason.TARGETS_PAUSED: UNAVAILABLE,
    RefusalReason.TARGETS_LIMITED: UNAVAILABLE,
    RefusalReason.TARGETS_EVACUATED: UNAVAILABLE,
    RefusalReason.CRASHES_TARGETS: UNAVAILABLE,
    RefusalReason.NOT_IN_TIME: GATEWAY_TIMEOUT,
    RefusalReason.ANSWER_LOST: BAD_GATEWAY,
    RefusalReason.STOPPING: UNAVAILABLE,
    RefusalReason.STREAM_UNKNOWN: UNAVAILABLE,
    RefusalReason.VERSION_GONE: UNAVAILABLE,
}


class HttpReply:
    """Implements the ``Reply`` port for one HTTP request."""

    def __init__(
        self, request: web.BaseRequest, *, is_last_answer: bool
    ) -> None:
        """Initialise with the request.

        :param is_last_answer: whether to close the connection afterwards,
            unless requests have come that are to be answered, too
        """
        self.response: web.StreamResponse | None = None
        self._request = request
        self._is_last_answer = is_last_answer
        self._connection: HalfClosedConnection | None = None
        if isinstance(request.protocol, HalfClosedConnection):
            self._connection = request.protocol
            self._connection.note_taken(request)

    def while_caller_may_read(self) -> AbstractAsyncContextManager[None]:
        """Interrupt the work on a request whose caller may have left.

        :raises CallerUnprovenError: if that was the case
        """
        if self._connection is None:
            return nullcontext()
        return self._connection.while_caller_may_read()

    async def end_unproven(self) -> None:
        """End the answer to a caller that may have left."""
        if self.response is None:
            await self.refuse(
                DirectRefusal(RefusalReason.ANSWER_LOST, has_run=True)
            )
        else:
            await self.abort()

    def note_run(self, must_go_on: Callable[[], bool]) -> None:
        """Note which runs go on though their caller may have left."""
        if self._connection is not None:
            self._connection.must_go_on = must_go_on

    async def send_complete(self, answer: CompleteResponse) -> None:
        """Send a complete answer of a target."""
        if answer.head.is_close_delimited or len(answer.body) > PIECE_BYTES:
            await _send_in_pieces(self, answer)
            return
        response = web.Response(
            status=answer.head.status,
            reason=answer.head.reason,
            body=answer.body,
        )
        _set_headers(response, answer.head, self._request)
        await self._send(response)

    async def refuse(self, refusal: DirectRefusal) -> None:
        """Send a refusal of the router itself."""
        status = _STATUS_BY_REASON[refusal.reason]
        if refusal.has_run and status == UNAVAILABLE:
            status = BAD_GATEWAY
        response = web.Response(status=status, text=refusal.reason.value)
        response.headers[names.REFUSAL] = refusal.reason.value
        if refusal.arrivals is not None:
            response.headers[names.ARRIVALS] = str(refusal.arrivals)
        if refusal.retry_after_s is not None:
            response.headers[names.RETRY_AFTER] = f'{refusal.retry_after_s:.2f}'
        await self._send(response)

    async def begin(
        self, head: ResponseHead, *, length: int | None = None
    ) -> None:
        """Begin a stream.

        :param length: of the body that follows, if it is known, in bytes
        """
        response = _new_stream_response(head)
        _set_headers(response, head, self._request)
        if length is not None and not head.is_close_delimited:
            response.content_length = length
        self.response = response
        self._prepare_end(response)
        await response.prepare(self._request)
        if hdrs.TRANSFER_ENCODING in response.headers:
            self._set_probe(CHUNK_START)
        if is_close_delimited(response):
            begin_close_delimited(self._request)

    async def write(self, data: bytes | memoryview) -> None:
        """Send the next bytes of a stream, once the caller has read enough."""
        await self._open_stream.write(data)
        await self._request.writer.drain()

    async def finish(self) -> None:
        """End a complete stream."""
        self._set_probe(None)
        await self._open_stream.write_eof()
        if is_close_delimited(self._open_stream):
            await end_close_delimited(self._request)

    async def abort(self) -> None:
        """Close the connection before the stream's end."""
        self._set_probe(None)
        transport = self._request.transport
        if transport is None:
            return
        if hdrs.TRANSFER_ENCODING in self._open_stream.headers:
            # The last chunk is missing.
            transport.close()
        else:
            reset_connection(transport)

    @property
    def _open_stream(self) -> web.StreamResponse:
        if self.response is None:
            raise RuntimeError('the stream has not begun')
        return self.response

    async def _send(self, response: web.Response) -> None:
        self.response = response
        self._prepare_end(response)
        await response.prepare(self._request)
        await response.write_eof()

    def _prepare_end(self, response: web.StreamResponse) -> None:
        """Say in the head whether the connection ends with the answer."""
        self._set_probe(None)
        connection = self._connection
        is_last = self._is_last_answer and not _has_requests_ahead(connection)
        if connection is not None and connection.ends_after_answer:
            is_last = True
        if is_last:
            response.force_close()

    def _set_probe(self, probe: bytes | None) -> None:
        """Set what may be written to find out whether the caller is there."""
        if self._connection is not None:
            self._connection.presence.probe = probe


async def _send_in_pieces(reply: HttpReply, answer: CompleteResponse) -> None:
    """Send an answer no faster than the caller reads it.

    The transport would copy what the caller has yet to read.
    """
    body = memoryview(answer.body)
    await reply.begin(answer.head, length=len(body))
    for start in range(0, len(body), PIECE_BYTES):
        await reply.write(body[start : start + PIECE_BYTES])
    await reply.finish()


def _has_requests_ahead(connection: HalfClosedConnection | None) -> bool:
    return connection is not None and connection.has_requests_ahead


def _new_stream_response(head: ResponseHead) -> web.StreamResponse:
    """Return a response that claims as much of its end as the head does.

    A last chunk would tell the caller that an answer is whole which its target
    may have broken off, so a close-delimited one ends its connection even if
    requests wait behind it.
    """
    if not head.is_close_delimited:
        return web.StreamResponse(status=head.status, reason=head.reason)
    response = CloseDelimitedResponse(status=head.status, reason=head.reason)
    response.force_close()
    return response


def _set_headers(
    response: web.StreamResponse, head: ResponseHead, request: web.BaseRequest
) -> None:
    """Set those of a head; another router is also told who answered."""
    response.headers.clear()
    for name, text in head.headers:
        response.headers.add(name, text)
    is_forwarded = names.FORWARDED in request.headers
    if is_forwarded and head.target_start is not None:
        response.headers[names.TARGET_START] = head.target_start

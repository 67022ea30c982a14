"""Bounds what the requests of one connection make the process hold."""

from http import HTTPStatus
from typing import Any

import structlog
from aiohttp import StreamReader, web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from dandelioncleat.adapters.connection_memory import (
    ConnectionMemory,
    new_connection_memory,
)
from dandelioncleat.adapters.read_limit import PacedProtocol
from dandelioncleat.adapters.received_requests import (
    READ_AHEAD_BYTES,
    ReceivedRequests,
    RequestProblem,
)

FAILED = 500
# Bounds what is logged of bytes that are no request, in characters.
MAX_REASON_LENGTH = 120
# Parsed requests that wait behind the current one; the rest waits unparsed.
MAX_REQUESTS_AHEAD = 4
MAX_HEAD_BYTES = 16 * 1024
MAX_FIELDS = 128
NO_MEMORY_RETRY_S = 1

_logger = structlog.get_logger(__name__)


class BoundedRequests(PacedProtocol, RequestHandler):
    """Keeps few parsed requests of a peer, and short heads.

    aiohttp bounds each line of a head, but not their sum; it keeps many parsed
    requests, and an error for each piece that follows bytes that are no
    request.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        memory: ConnectionMemory | None = None,
        head_bytes: int = MAX_HEAD_BYTES,
        **options: Any,
    ) -> None:
        """Initialise for one connection.

        :param memory: what all connections of the process may hold
        :param head_bytes: maximum size of a target, and of all fields of a
            head together
        """
        super().__init__(server, **_parser_options(options, head_bytes))
        # aiohttp has no option for the number of requests that wait.
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._parser = _new_parser(
            self, auto_decompress=options['auto_decompress']
        )
        self._has_failed = False
        self._memory = memory or new_connection_memory()
        self._received = ReceivedRequests(
            self._memory.received,
            head_bytes=head_bytes,
            most_fields=MAX_FIELDS,
        )
        self._last_body: StreamReader | None = None

    @property
    def has_requests_ahead(self) -> bool:
        """Return whether requests have come behind the current one."""
        return bool(self._messages)

    @property
    def _is_body_due(self) -> bool:
        """Return whether a part of the last request's body is still to come."""
        return self._last_body is not None and not self._last_body.is_eof()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what is no request, or could not be handled.

        aiohttp would log and send back all that the peer has sent.
        """
        _logger.info(
            'request cannot be read' if status < FAILED else 'request failed',
            peer=request.remote,
            status=status,
            reason=(message or repr(exc))[:MAX_REASON_LENGTH],
            exc_info=exc if status == FAILED else None,
        )
        response = web.Response(status=status)
        if status == RequestProblem.NO_MEMORY:
            response.headers['Retry-After'] = str(NO_MEMORY_RETRY_S)
        response.force_close()
        return response

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the requests of a closed connection held.

        Requests that wait are discarded: they refer to the connection, so what
        has come of their bodies would be kept until a garbage collection.
        """
        self._received.release()
        waiter, task = self._waiter, self._task_handler
        if waiter is not None and waiter.done() and task is not None:
            # It was about to take the first of them.
            task.cancel()
        super().connection_lost(exc)
        self._messages.clear()
        self._last_body = None

    async def finish_response(
        self, *args: Any, **options: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, and give back what its request held."""
        finished = await super().finish_response(*args, **options)
        self._received.end_first()
        return finished

    async def _handle_request(
        self, *args: Any, **options: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle the first request, whose handler reads its body."""
        self._received.take_first()
        return await super()._handle_request(*args, **options)

    def data_received(self, data: bytes) -> None:
        """Receive bytes of requests."""
        if self._has_failed:
            return
        if data:
            self.note_lines(data)
        if self._upgraded:
            super().data_received(data)
            return
        body = self._last_body if self._is_body_due else None
        body_bytes = 0 if body is None else body.total_bytes
        if body is None:
            self._received.add_bytes(data)
        before = self._request_count
        super().data_received(data)
        if self._request_count > before:
            self._note_requests(self._request_count - before)
        elif body is None:
            self._refuse_for(self._received.add_part(data), 0)
        else:
            self._note_body(data, has_grown=body.total_bytes > body_bytes)

    def discard_last(self) -> None:
        """Discard the last request, which waits."""
        self._messages.pop()
        self._received.discard_last()

    def _note_requests(self, count: int) -> None:
        """Bound what was just parsed.

        :param count: number of requests whose heads have come
        """
        new = [self._messages[index - count] for index in range(count)]
        for message, body in new:
            if isinstance(message, _ErrInfo):
                self._fail(_shortened(message), count)
                return
            self._last_body = body
            if self._refuse_for(self._received.add(message, body), count):
                return
            count -= 1
        if self._is_body_due:
            self._received.forget_open()
        self._refuse_for(self._received.check_open(), 0)

    def _note_body(self, data: bytes, *, has_grown: bool) -> None:
        """Bound the trailers of a body, which its content does not grow by.

        The request cannot be answered, as something may read its body.
        """
        if has_grown or not self._is_body_due:
            self._received.forget_open()
            return
        self._received.add_bytes(data)
        problem = self._received.add_part(data)
        if problem is not None and self.transport is not None:
            self._has_failed = True
            self._count(problem)
            self.transport.abort()

    def _refuse_for(self, problem: RequestProblem | None, count: int) -> bool:
        """Refuse the last requests if there is a problem with them."""
        if problem is None:
            return False
        self._fail(_error_of(problem), count)
        self._count(problem)
        return True

    def _count(self, problem: RequestProblem) -> None:
        reason = problem.name.lower()
        self._memory.telemetry.count('connections.refused', reason=reason)

    def _fail(self, error: _ErrInfo, count: int) -> None:
        """Answer with an error; discard what follows, and the bytes it quotes.

        :param count: the last requests that the error replaces
        """
        self._has_failed = True
        for _ in range(count):
            self._messages.pop()
        self._messages.append((error, EMPTY_PAYLOAD))
        self._request_count += 1 - count
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _parser_options(options: dict[str, Any], head_bytes: int) -> dict[str, Any]:
    """Return the options of a connection, with those of its parser."""
    options.setdefault('auto_decompress', True)
    return {
        **options,
        'max_line_size': head_bytes,
        'max_field_size': head_bytes,
        'max_headers': MAX_FIELDS,
        # aiohttp reads twice as much of a body ahead.
        'read_bufsize': READ_AHEAD_BYTES // 2,
    }


def _new_parser(
    protocol: RequestHandler, *, auto_decompress: bool
) -> HttpRequestParser:
    return HttpRequestParser(
        protocol,
        protocol._loop,
        protocol._read_bufsize,
        max_line_size=protocol.max_line_size,
        max_field_size=protocol.max_field_size,
        max_headers=protocol.max_headers,
        payload_exception=RequestPayloadError,
        auto_decompress=auto_decompress,
        max_msg_queue_size=MAX_REQUESTS_AHEAD,
    )


def _error_of(problem: RequestProblem) -> _ErrInfo:
    reason = HTTPStatus(problem).phrase
    return _ErrInfo(
        status=int(problem), exc=BadHttpMessage(reason), message=reason
    )


def _shortened(error: _ErrInfo) -> _ErrInfo:
    """Return an error that quotes few of the bytes that it is about."""
    reason = error.message[:MAX_REASON_LENGTH]
    return _ErrInfo(
        status=error.status, exc=BadHttpMessage(reason), message=reason
    )

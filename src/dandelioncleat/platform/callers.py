"""Serves callers over HTTP."""

import asyncio
from collections.abc import AsyncIterator, Callable

import structlog
from aiohttp import StreamReader, web
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.app.direct.open_requests import OpenRequests
from dandelioncleat.app.direct.serving import Serving
from dandelioncleat.core.deployment import CallerLimits
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.held_bytes import HeldBytes, HeldMessage
from dandelioncleat.platform import names
from dandelioncleat.platform.caller_connection import CallerConnection
from dandelioncleat.platform.caller_reply import HttpReply
from dandelioncleat.platform.caller_request import decode_request
from dandelioncleat.platform.half_closed_connection import CallerUnprovenError

# All callers share one part of the memory, as they have no names here.
CALLERS = 'callers'
NO_MEMORY_RETRY_S = 1.0
DEFAULT_LIMITS = CallerLimits(16384, 4194304, 3, 15)

_logger = structlog.get_logger(__name__)


class CallerHandler:
    """Reads callers' requests and passes them to the server.

    ``taken`` are the requests whose head has arrived, also those whose body
    has not.
    """

    def __init__(
        self,
        serving: Serving,
        *,
        limits: Callable[[], CallerLimits],
        request_bytes: HeldBytes,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Initialise with what serves requests.

        :param limits: returns the current limits
        :param request_bytes: what the process may keep of requests
        :param is_stopping: returns whether connections should close
        """
        self.taken = OpenRequests()
        self._serving = serving
        self._limits = limits
        self._request_bytes = request_bytes
        self._is_stopping = is_stopping

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        held = HeldMessage(self._request_bytes, CALLERS, is_shared=False)
        name = request.headers.get(names.REQUEST_ID, '')
        with self.taken.added(name):
            try:
                return await self._answer(request, held)
            finally:
                held.release()

    async def _answer(
        self, request: web.BaseRequest, held: HeldMessage
    ) -> web.StreamResponse:
        arrived_at = _arrived_at(request)
        reply = HttpReply(request, is_last_answer=self._is_stopping())
        body = await self._read(request, held)
        if not is_successful(body):
            reply = HttpReply(request, is_last_answer=True)
            _log_unread(request, body.failure())
            await reply.refuse(body.failure())
            return _response(reply)
        decoded = decode_request(request, body.unwrap())
        if is_successful(decoded):
            await self._serve(decoded.unwrap(), reply, arrived_at)
            return _response(reply)
        _logger.info('request malformed', reason=decoded.failure())
        await reply.refuse(DirectRefusal(RefusalReason.BAD_REQUEST))
        return _response(reply)

    async def _serve(
        self, request: DirectRequest, reply: HttpReply, arrived_at: float
    ) -> None:
        try:
            async with reply.while_caller_may_read():
                await self._serving.serve(request, reply, arrived_at=arrived_at)
        except CallerUnprovenError:
            await reply.end_unproven()
        except ConnectionError:
            # The caller disconnected while its answer was written.
            raise
        except Exception:
            _logger.exception('request failed', request=request.id)
            if reply.response is not None:
                raise
            await reply.refuse(
                DirectRefusal(RefusalReason.ANSWER_LOST, has_run=True)
            )

    async def _read(
        self, request: web.BaseRequest, held: HeldMessage
    ) -> Result[bytes, DirectRefusal]:
        """Read a body, or return why it is not read to its end."""
        limit = self._limits().body_bytes
        declared = request.content_length
        if declared is not None and declared > limit:
            return Failed(DirectRefusal(RefusalReason.TOO_LARGE))
        if declared is not None and not held.grow_to(declared):
            return Failed(_no_memory())
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        body = bytearray()
        try:
            async for data in _pieces(request.content, self._limits().idle_s):
                body += data
                if len(body) > limit:
                    return Failed(DirectRefusal(RefusalReason.TOO_LARGE))
                if not held.grow_to(len(body)):
                    return Failed(_no_memory())
        except TimeoutError:
            return Failed(DirectRefusal(RefusalReason.BODY_LATE))
        return Success(bytes(body))


async def _pieces(content: StreamReader, idle_s: float) -> AsyncIterator[bytes]:
    """Yield a body as it arrives.

    :param idle_s: maximum time between two pieces, in seconds
    :raises TimeoutError: if the next piece takes longer
    """
    while not content.at_eof():
        async with asyncio.timeout(idle_s):
            data = await content.readany()
        yield data


def _no_memory() -> DirectRefusal:
    return DirectRefusal(
        RefusalReason.NO_MEMORY, retry_after_s=NO_MEMORY_RETRY_S
    )


def _log_unread(request: web.BaseRequest, refusal: DirectRefusal) -> None:
    _logger.info(
        'request not read',
        request=request.headers.get(names.REQUEST_ID),
        reason=refusal.reason,
        declared_bytes=request.content_length,
    )


def _arrived_at(request: web.BaseRequest) -> float:
    """Return when a request began to arrive, an event loop time in seconds."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        return connection.take_head_time()
    return asyncio.get_running_loop().time()


def _response(reply: HttpReply) -> web.StreamResponse:
    if reply.response is None:
        raise ConnectionResetError('the request was not answered')
    return reply.response

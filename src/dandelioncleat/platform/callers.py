"""Serves callers over HTTP."""

from collections.abc import Callable

import structlog
from aiohttp import web
from returns.pipeline import is_successful

from dandelioncleat.app.direct.serving import Serving
from dandelioncleat.core.deployment import CallerLimits
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.platform.caller_reply import HttpReply
from dandelioncleat.platform.caller_request import decode_request

DEFAULT_LIMITS = CallerLimits(16384, 4194304, 3, 15)

_logger = structlog.get_logger(__name__)


class CallerHandler:
    """Reads requests of callers and has them served."""

    def __init__(
        self,
        serving: Serving,
        *,
        limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Take what serves requests, and the limits in force."""
        self._serving = serving
        self._limits = limits
        self._is_stopping = is_stopping

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        reply = HttpReply(request, is_last=self._is_stopping())
        body = await self._read(request)
        if body is None:
            reply = HttpReply(request, is_last=True)
            await reply.refuse(DirectRefusal(RefusalReason.TOO_LARGE))
            return _response(reply)
        decoded = decode_request(request, body)
        if is_successful(decoded):
            await self._serve(decoded.unwrap(), reply)
            return _response(reply)
        _logger.info('request malformed', reason=decoded.failure())
        await reply.refuse(DirectRefusal(RefusalReason.BAD_REQUEST))
        return _response(reply)

    async def _serve(self, request: DirectRequest, reply: HttpReply) -> None:
        try:
            await self._serving.serve(request, reply)
        except ConnectionError:
            # The caller has left while its answer was written.
            raise
        except Exception:
            _logger.exception('request failed', request=request.id)
            if reply.response is not None:
                raise
            await reply.refuse(
                DirectRefusal(RefusalReason.ANSWER_LOST, has_run=True)
            )

    async def _read(self, request: web.BaseRequest) -> bytes | None:
        most = self._limits().body_bytes
        stated = request.content_length
        if stated is not None and stated > most:
            return None
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        body = bytearray()
        async for data in request.content.iter_any():
            body += data
            if len(body) > most:
                return None
        return bytes(body)


def _response(reply: HttpReply) -> web.StreamResponse:
    if reply.response is None:
        raise ConnectionResetError('the request has no answer')
    return reply.response

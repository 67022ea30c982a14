"""Sends orders to targets over HTTP."""

import asyncio
import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    Headers,
    RefusalReason,
    ResponseHead,
)
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.platform import names
from dandelioncleat.platform.sockets import new_watched_socket
from dandelioncleat.ports.direct_target import (
    CONNECT_STEP,
    TargetOccupancy,
    TargetRequest,
)

CONNECT_TIMEOUT_S = 0.5
# Targets close idle connections at a time of their own.
IDLE_S = 2.0
ANSWER_STEP = 'answer'
BODY_STEP = 'body'
MISDIRECTED = 421
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Refusals may come without the id of their request.
FIRST_FAILURE = 400
_MS = 1000
_AUTOMATIC_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_REASONS = frozenset(reason.value for reason in RefusalReason)
_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError, ValueError)


class _TargetProtocol(ResponseHandler):
    """Never takes a body that ends with a reset for a complete one."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc}')
            )
        super().connection_lost(exc)


class HttpTargetAnswer:
    """Is the answer of a target whose head was read."""

    def __init__(self, response: aiohttp.ClientResponse, *, peer: str) -> None:
        """Take the response of a target or router."""
        headers = response.headers
        self.head = ResponseHead(
            response.status,
            response.reason or '',
            _passed_on(response.raw_headers),
        )
        self.is_misdirected = response.status == MISDIRECTED
        self.has_run = names.NOT_RUN not in headers and not self.is_misdirected
        self.is_stream = response.content_type == 'text/event-stream'
        self.occupancy = _occupancy(headers.get(names.OCCUPANCY))
        self.refusal = _refusal(response)
        self._response = response
        self._peer = peer

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        try:
            async for data in self._response.content.iter_any():
                yield data
        except _ERRORS as error:
            raise _failure(BODY_STEP, self._peer, error) from error


class HttpTargets:
    """Implements the ``DirectTargets`` port."""

    def __init__(self) -> None:
        """Open the sessions; needs a running event loop."""
        self._kept = _new_session(is_kept=True)
        self._fresh = _new_session(is_kept=False)

    @asynccontextmanager
    async def send(
        self, order: TargetRequest
    ) -> AsyncIterator[HttpTargetAnswer]:
        """Send an order and read the head of its answer."""
        call = _Call(
            self._fresh if order.is_fresh else self._kept,
            order.request,
            order.target.address,
            order.target.id,
            _headers(order),
        )
        async with _open(call) as answer:
            yield answer

    @asynccontextmanager
    async def forward(
        self, request: DirectRequest, address: str, *, remaining_s: float
    ) -> AsyncIterator[HttpTargetAnswer]:
        """Have another router serve a request."""
        headers = _forwarded_headers(request, remaining_s)
        call = _Call(self._fresh, request, address, address, headers)
        async with _open(call) as answer:
            yield answer

    async def close(self) -> None:
        """Close every connection."""
        await self._kept.close()
        await self._fresh.close()


class _Call(NamedTuple):
    """A request, where it is sent and with which headers."""

    session: aiohttp.ClientSession
    request: DirectRequest
    address: str
    peer: str
    headers: list[tuple[str, str]]


@asynccontextmanager
async def _open(call: _Call) -> AsyncIterator[HttpTargetAnswer]:
    response = await _respond(call)
    is_over = False
    try:
        _check_echo(response, call)
        yield HttpTargetAnswer(response, peer=call.peer)
        is_over = response.content.at_eof()
    finally:
        if is_over:
            response.release()
        else:
            response.close()


async def _respond(call: _Call) -> aiohttp.ClientResponse:
    request = call.request
    try:
        return await call.session.request(
            request.method,
            URL(f'http://{call.address}{request.path}', encoded=True),
            headers=call.headers,
            data=_body(request),
            allow_redirects=False,
            skip_auto_headers=_AUTOMATIC_HEADERS,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise _failure(CONNECT_STEP, call.peer, error) from error
    except _ERRORS as error:
        raise _failure(ANSWER_STEP, call.peer, error) from error


def _check_echo(response: aiohttp.ClientResponse, call: _Call) -> None:
    echoed = response.headers.get(names.REQUEST_ID)
    is_success = response.status < FIRST_FAILURE
    is_missing = echoed is None and not is_success
    if echoed != call.request.id and not is_missing:
        raise failure_error(
            Code.TARGET,
            step=ANSWER_STEP,
            peer=call.peer,
            text=f'the answer is that of request {echoed}',
        )


def _new_session(*, is_kept: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        use_dns_cache=False,
        socket_factory=new_watched_socket,
        **({'keepalive_timeout': IDLE_S} if is_kept else {'force_close': True}),
    )
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(  # type: ignore[assignment]
        _TargetProtocol, loop=loop
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
    )
    # The library would send again on its own, past the budget of retries.
    session._retry_connection = False
    return session


def _headers(order: TargetRequest) -> list[tuple[str, str]]:
    request = order.request
    headers = list(request.headers)
    headers.append((names.WAIT_MS, str(max(1, int(order.remaining_s * _MS)))))
    headers.append((names.EXPECTED_TARGET, order.target.id))
    if order.organisation is not None:
        headers.append((names.ORGANISATION, order.organisation))
    if order.resume_after is not None:
        headers.append((names.RESUME_AFTER, order.resume_after))
    if order.urgency is not None:
        headers.append((names.URGENCY, str(order.urgency)))
    return headers


def _forwarded_headers(
    request: DirectRequest, left_s: float
) -> list[tuple[str, str]]:
    headers = list(request.headers)
    headers.append((names.WAIT_MS, str(max(1, int(left_s * _MS)))))
    headers.append((names.FORWARDED, '1'))
    if request.key is not None:
        headers.append((names.KEY, f'Bearer {request.key}'))
    if request.resume_after is not None:
        headers.append((names.RESUME_AFTER, request.resume_after))
    return headers


def _refusal(response: aiohttp.ClientResponse) -> DirectRefusal | None:
    """Return why a router refused; a target sends no such header."""
    reason = response.headers.get(names.REFUSAL)
    if reason not in _REASONS:
        return None
    has_run = response.status in {BAD_GATEWAY, GATEWAY_TIMEOUT}
    return DirectRefusal(RefusalReason(reason), has_run=has_run)


def _body(request: DirectRequest) -> bytes | None:
    if not request.body and request.method in {'GET', 'HEAD'}:
        return None
    return request.body


def _passed_on(raw_headers: tuple[tuple[bytes, bytes], ...]) -> Headers:
    headers = (
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in raw_headers
    )
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in names.CONNECTION_HEADERS
    )


def _occupancy(text: str | None) -> TargetOccupancy | None:
    parts = (text or '').split(',')
    if len(parts) != len(TargetOccupancy._fields):
        return None
    if not all(part.strip().isdecimal() for part in parts):
        return None
    return TargetOccupancy(*(int(part) for part in parts))


def _failure(step: str, peer: str, error: Exception) -> FailureError:
    text = f'{type(error).__name__}: {error}'
    return failure_error(Code.TARGET, step=step, peer=peer, text=text)

"""A plain service as an HTTP application."""

import msgspec
from aiohttp import web

from dandelioncleat.adapters.run_text import parse_run
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.standin.refusal import (
    CrashedError,
    FencedError,
    StandinError,
)
from dandelioncleat.standin.server import json_response
from dandelioncleat.standin.service import PlainService, ServiceCall

SERVICE = web.AppKey('service', PlainService)
FENCE_HEADER = 'X-Fencing-Number'
RUN_HEADER = 'X-Request-Id'
PRECONDITION_FAILED = 412
UNAVAILABLE = 503


def new_service_application(service: PlainService) -> web.Application:
    """Return the application that serves a plain service."""
    application = web.Application()
    application[SERVICE] = service
    application.router.add_get('/load', _load)
    application.router.add_post('/orders/fence', _fence)
    application.router.add_route('*', '/{path:.*}', _call)
    return application


async def _call(request: web.Request) -> web.Response:
    call = ServiceCall(
        run=_run_id(request),
        method=request.method,
        path=request.path_qs,
        body=await request.read(),
        fence=int(request.headers.get(FENCE_HEADER, 0)),
    )
    try:
        answer = await request.app[SERVICE].call(call)
    except StandinError as error:
        return _error_response(request, error)
    return json_response(answer.body, answer.status)


async def _load(request: web.Request) -> web.Response:
    load = request.app[SERVICE].load()
    return json_response(msgspec.json.encode(load._asdict()))


async def _fence(request: web.Request) -> web.Response:
    number = int(request.headers[FENCE_HEADER])
    try:
        checks = request.app[SERVICE].fence(number)
    except FencedError as error:
        return _error_response(request, error)
    return json_response(msgspec.json.encode({'checks': checks}))


def _run_id(request: web.Request) -> RunId:
    text = request.headers.get(RUN_HEADER)
    if text is None:
        return RunId('', '', Incarnation(''), 0)
    return parse_run(text)


def _error_response(request: web.Request, error: StandinError) -> web.Response:
    body = msgspec.json.encode({'error': {'message': str(error)}})
    match error:
        case CrashedError():
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        case FencedError(number=number):
            response = json_response(body, PRECONDITION_FAILED)
            response.headers[FENCE_HEADER] = str(number)
            return response
    return json_response(body, UNAVAILABLE)

"""A model engine as an OpenAI-compatible HTTP application."""

from itertools import count
from typing import Any

import msgspec
from aiohttp import web

from dandelioncleat.adapters.run_text import parse_run
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.standin.engine import Engine, EngineRequest
from dandelioncleat.standin.engine_run import EngineRun, RunEnd, TokenRange
from dandelioncleat.standin.memory_target import ended_of
from dandelioncleat.standin.prompt import answer_text, new_prompt
from dandelioncleat.standin.refusal import (
    CrashedError,
    FencedError,
    StandinError,
    TooLargeError,
)
from dandelioncleat.standin.server import json_response

ENGINE = web.AppKey('engine', Engine)
FENCE_HEADER = 'X-Fencing-Number'
RUN_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume-From'
DEFAULT_CAP = 256
BAD_REQUEST = 400
NOT_FOUND = 404
PRECONDITION_FAILED = 412
TOO_LARGE = 413
LARGEST_BODY_BYTES = 16 * 1024 * 1024
DONE_EVENT = b'data: [DONE]\n\n'
_NUMBERS = count(1)


class CompletionOptions(msgspec.Struct):
    """The fields of a body that say how to run it."""

    model: str = ''
    max_tokens: int = DEFAULT_CAP
    priority: int = 0
    stream: bool = False


class Shape:
    """Writes answers in the shape of a chat or of a completion."""

    def __init__(self, request: web.Request, model: str) -> None:
        """Take the request to answer."""
        self._chat = request.path.endswith('/chat/completions')
        self._head = {
            'id': request.headers.get(RUN_HEADER, ''),
            'object': 'chat.completion' if self._chat else 'text_completion',
            'model': model,
        }

    def event(self, run: EngineRun, text: str, reason: str | None) -> bytes:
        """Return one server-sent event."""
        field = 'delta' if self._chat else 'text'
        part: Any = {'content': text} if self._chat else text
        return b'data: %b\n\n' % self._encode(run, field, part, reason)

    def whole(self, run: EngineRun, text: str) -> bytes:
        """Return a whole answer."""
        field = 'message' if self._chat else 'text'
        part: Any = text
        if self._chat:
            part = {'role': 'assistant', 'content': text}
        return self._encode(run, field, part, run.reason)

    def _encode(
        self,
        run: EngineRun,
        field: str,
        part: Any,
        reason: str | None,
    ) -> bytes:
        choice = {'index': 0, field: part, 'finish_reason': reason}
        usage = {
            'prompt_tokens': run.prompt_tokens,
            'completion_tokens': run.output_tokens,
            'total_tokens': run.tokens,
        }
        return msgspec.json.encode(
            {**self._head, 'choices': [choice], 'usage': usage}
        )


def new_engine_application(engine: Engine) -> web.Application:
    """Return the application that serves an engine."""
    application = web.Application(client_max_size=LARGEST_BODY_BYTES)
    application[ENGINE] = engine
    application.router.add_post('/v1/completions', _complete)
    application.router.add_post('/v1/chat/completions', _complete)
    application.router.add_post('/tokenize', _tokenize)
    application.router.add_get('/load', _load)
    application.router.add_get('/cache_events', _cache_events)
    application.router.add_delete('/runs/{run}', _cancel)
    application.router.add_post('/orders/fence', _fence)
    return application


async def _complete(request: web.Request) -> web.StreamResponse:
    body = await request.read()
    try:
        options = msgspec.json.decode(body, type=CompletionOptions)
        run = request.app[ENGINE].open(_engine_request(request, body, options))
    except (msgspec.MsgspecError, ValueError, StandinError) as refused:
        return _refusal(refused)
    shape = Shape(request, options.model)
    try:
        if options.stream:
            return await _stream(request, run, shape)
        return await _whole(request, run, shape)
    except CrashedError:
        return _abort(request)


async def _stream(
    request: web.Request,
    run: EngineRun,
    shape: Shape,
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = 'text/event-stream'
    await response.prepare(request)
    start = int(request.headers.get(RESUME_HEADER, 0))
    async for event in request.app[ENGINE].events(run, start):
        match event:
            case TokenRange(first, end):
                text = answer_text(run.prompt, first, end)
                await response.write(shape.event(run, text, None))
            case RunEnd(_, _, reason):
                await response.write(shape.event(run, '', reason))
    await response.write(DONE_EVENT)
    return response


async def _whole(
    request: web.Request,
    run: EngineRun,
    shape: Shape,
) -> web.Response:
    async for event in request.app[ENGINE].events(run):
        if isinstance(event, RunEnd):
            break
    text = answer_text(run.prompt, 0, run.output_tokens)
    return json_response(shape.whole(run, text))


async def _tokenize(request: web.Request) -> web.Response:
    try:
        prompt = new_prompt(await request.read())
    except msgspec.MsgspecError as error:
        return _refusal(error)
    return json_response(msgspec.json.encode({'count': prompt.tokens}))


async def _load(request: web.Request) -> web.Response:
    load = request.app[ENGINE].load()
    return json_response(msgspec.json.encode(load._asdict()))


async def _cache_events(request: web.Request) -> web.Response:
    start = int(request.query.get('start', 0))
    events = request.app[ENGINE].cache_feed.read(start)
    return json_response(msgspec.json.encode(events._asdict()))


async def _cancel(request: web.Request) -> web.Response:
    run = request.app[ENGINE].cancel(parse_run(request.match_info['run']))
    ended = ended_of(run)
    if ended is None:
        return web.Response(status=NOT_FOUND)
    return json_response(msgspec.json.encode(ended._asdict()))


async def _fence(request: web.Request) -> web.Response:
    try:
        checks = request.app[ENGINE].fence(int(request.headers[FENCE_HEADER]))
    except FencedError as error:
        return _refusal(error)
    return json_response(msgspec.json.encode({'checks': checks}))


def _engine_request(
    request: web.Request,
    body: bytes,
    options: CompletionOptions,
) -> EngineRequest:
    return EngineRequest(
        run=_run_of(request),
        prompt=new_prompt(body),
        cap=options.max_tokens,
        priority=options.priority,
        fence=int(request.headers.get(FENCE_HEADER, 0)),
    )


def _run_of(request: web.Request) -> RunId:
    text = request.headers.get(RUN_HEADER)
    if text is None:
        # A caller that names no run gets one of its own.
        return RunId('', '', Incarnation(''), next(_NUMBERS))
    return parse_run(text)


def _refusal(error: Exception) -> web.Response:
    body = msgspec.json.encode({'error': {'message': str(error)}})
    if isinstance(error, FencedError):
        response = json_response(body, PRECONDITION_FAILED)
        response.headers[FENCE_HEADER] = str(error.number)
        return response
    too_large = isinstance(error, TooLargeError)
    return json_response(body, TOO_LARGE if too_large else BAD_REQUEST)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()

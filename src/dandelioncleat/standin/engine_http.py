"""A model engine as an OpenAI-compatible HTTP application."""

from itertools import count
from typing import Any

import msgspec
from aiohttp import web

from dandelioncleat.adapters.run_text import parse_run
from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.standin.engine import Engine, EngineRequest
from dandelioncleat.standin.engine_run import EngineRun, RunEnd, TokenRange
from dandelioncleat.standin.memory_target import final_counts
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
MAX_BODY_BYTES = 16 * 1024 * 1024
DONE_EVENT = b'data: [DONE]\n\n'
_UNNAMED_RUN_NUMBERS = count(1)


class CompletionOptions(msgspec.Struct):
    """The fields of a request body that the engine reads."""

    model: str = ''
    max_tokens: int = DEFAULT_CAP
    priority: int = 0
    stream: bool = False


class CompletionEncoder:
    """Encodes answers in the chat or the completion format."""

    def __init__(self, request: web.Request, model: str) -> None:
        """Take the request to answer."""
        self._chat = request.path.endswith('/chat/completions')
        self._head = {
            'id': request.headers.get(RUN_HEADER, ''),
            'object': 'chat.completion' if self._chat else 'text_completion',
            'model': model,
        }

    def event(self, run: EngineRun, text: str, reason: str | None) -> bytes:
        """Return a server-sent event."""
        field = 'delta' if self._chat else 'text'
        part: Any = {'content': text} if self._chat else text
        return b'data: %b\n\n' % self._encode(run, field, part, reason)

    def complete(self, run: EngineRun, text: str) -> bytes:
        """Return the body of a complete answer."""
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
    application = web.Application(client_max_size=MAX_BODY_BYTES)
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
    except (msgspec.MsgspecError, ValueError, StandinError) as error:
        return _error_response(error)
    encoder = CompletionEncoder(request, options.model)
    try:
        if options.stream:
            return await _send_stream(request, run, encoder)
        return await _send_complete(request, run, encoder)
    except CrashedError:
        return _abort_connection(request)


async def _send_stream(
    request: web.Request,
    run: EngineRun,
    encoder: CompletionEncoder,
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = 'text/event-stream'
    await response.prepare(request)
    start = int(request.headers.get(RESUME_HEADER, 0))
    async for event in request.app[ENGINE].events(run, start):
        match event:
            case TokenRange(first, end):
                text = answer_text(run.prompt, first, end)
                await response.write(encoder.event(run, text, None))
            case RunEnd(_, _, reason):
                await response.write(encoder.event(run, '', reason))
    await response.write(DONE_EVENT)
    return response


async def _send_complete(
    request: web.Request,
    run: EngineRun,
    encoder: CompletionEncoder,
) -> web.Response:
    async for event in request.app[ENGINE].events(run):
        if isinstance(event, RunEnd):
            break
    text = answer_text(run.prompt, 0, run.output_tokens)
    return json_response(encoder.complete(run, text))


async def _tokenize(request: web.Request) -> web.Response:
    try:
        prompt = new_prompt(await request.read())
    except msgspec.MsgspecError as error:
        return _error_response(error)
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
    ended = final_counts(run)
    if ended is None:
        return web.Response(status=NOT_FOUND)
    return json_response(msgspec.json.encode(ended._asdict()))


async def _fence(request: web.Request) -> web.Response:
    try:
        checks = request.app[ENGINE].fence(int(request.headers[FENCE_HEADER]))
    except FencedError as error:
        return _error_response(error)
    return json_response(msgspec.json.encode({'checks': checks}))


def _engine_request(
    request: web.Request,
    body: bytes,
    options: CompletionOptions,
) -> EngineRequest:
    return EngineRequest(
        run=_run_id(request),
        prompt=new_prompt(body),
        cap=options.max_tokens,
        priority=options.priority,
        fence=int(request.headers.get(FENCE_HEADER, 0)),
    )


def _run_id(request: web.Request) -> RunId:
    text = request.headers.get(RUN_HEADER)
    if text is None:
        # Without a run id, each request counts as a run of its own.
        return RunId('', '', Incarnation(''), next(_UNNAMED_RUN_NUMBERS))
    return parse_run(text)


def _error_response(error: Exception) -> web.Response:
    body = msgspec.json.encode({'error': {'message': str(error)}})
    if isinstance(error, FencedError):
        response = json_response(body, PRECONDITION_FAILED)
        response.headers[FENCE_HEADER] = str(error.number)
        return response
    too_large = isinstance(error, TooLargeError)
    return json_response(body, TOO_LARGE if too_large else BAD_REQUEST)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()

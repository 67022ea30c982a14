"""Serves callers over HTTP; docs/CALLERS.md describes it.

``/v1`` is the OpenAI-compatible API, ``/services`` forwards to plain
services.
"""

from collections.abc import Awaitable, Callable
from hashlib import blake2b
from http import HTTPStatus
from typing import NamedTuple, Protocol

import msgspec
from aiohttp import web
from returns.pipeline import is_successful

from dandelioncleat.adapters._caller_answer import CompletionEncoder
from dandelioncleat.adapters._caller_body import BodyMemory
from dandelioncleat.adapters._caller_error import JSON_TYPE, refusal_response
from dandelioncleat.adapters._caller_key import Caller, CallerKeys, parse_caller
from dandelioncleat.adapters._caller_relay import (
    WRITE_TIMEOUT_S,
    Events,
    StreamRelay,
    send_document,
    send_raw,
)
from dandelioncleat.core.account import Balance
from dandelioncleat.core.completion import (
    Completion,
    parse_completion,
    token_bounds,
)
from dandelioncleat.core.configuration import (
    Configuration,
    Service,
    ServiceKind,
)
from dandelioncleat.core.failure import (
    Code,
    FailureError,
    failure_error,
)
from dandelioncleat.core.identity import BudgetId, Digest, RequestKey
from dandelioncleat.core.request import CallerRequest
from dandelioncleat.core.scoped_key import scoped_key
from dandelioncleat.ports.clock import Clock

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
MS_PER_S = 1000
DIGEST_BYTES = 16
SERVICE_SEGMENTS = 3
CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RequestServer(Protocol):
    """Serves requests; implemented by the router."""

    @property
    def obstacle(self) -> str:
        """Return why new requests are not served; empty if they are."""

    def serve(
        self,
        request: CallerRequest,
        *,
        traceparent: str = '',
    ) -> Events:
        """Yield the answer's pieces, then its ``AnswerEnd``."""


class CallerBackend(NamedTuple):
    """The dependencies of the callers' routes.

    ``balance_of`` returns a budget's totals in the ledger;
    ``write_timeout_s`` limits each write to a caller.
    """

    server: RequestServer
    configuration: Callable[[], Configuration]
    balance_of: Callable[[BudgetId], Balance]
    metrics_page: Callable[[], bytes]
    clock: Clock
    write_timeout_s: float = WRITE_TIMEOUT_S


def new_caller_application(
    backend: CallerBackend,
    memory: BodyMemory | None = None,
) -> web.Application:
    """Return the web application that serves a router's callers."""
    memory = memory or BodyMemory()
    application = web.Application(
        client_max_size=memory.max_body_bytes,
        middlewares=[_explain_failures],
    )
    routes = _CallerRoutes(backend, memory)
    add = application.router.add_route
    add('POST', CHAT_PATH, routes.complete)
    add('POST', COMPLETION_PATH, routes.complete)
    add('*', '/services/{service}/{path:.*}', routes.call_service)
    add('GET', '/v1/models', routes.list_models)
    add('GET', '/v1/budget', routes.show_budget)
    add('GET', '/healthz', routes.show_health)
    add('GET', '/readyz', routes.show_readiness)
    add('GET', '/metrics', routes.show_metrics)
    return application


class _CallerRoutes:
    """Translates between HTTP and the router."""

    def __init__(self, backend: CallerBackend, memory: BodyMemory) -> None:
        self._backend = backend
        self._memory = memory
        self._keys = CallerKeys(backend.configuration)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        caller = self._caller(request)
        with self._memory.reserve(request) as reserved:
            body = await reserved.read()
            is_chat = request.path == CHAT_PATH
            parsed = parse_completion(body, is_chat=is_chat)
            if not is_successful(parsed):
                raise FailureError(parsed.failure())
            completion = parsed.unwrap()
            caller_request = self._model_request(
                caller, request, body, completion
            )
            events = self._serve(caller_request, request)
            encoder = CompletionEncoder(
                caller.key,
                completion.model,
                is_chat,
                int(self._backend.clock.wall()),
            )
            if completion.is_streamed:
                relay = StreamRelay(
                    request, encoder, timeout_s=self._backend.write_timeout_s
                )
                return await relay.send(events)
            return await send_document(events, encoder)

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        caller = self._caller(request)
        service = self._service(caller, request.match_info['service'])
        if service.kind is not ServiceKind.PLAIN:
            raise _not_found('the service is reached through /v1')
        with self._memory.reserve(request) as reserved:
            body = await reserved.read()
            caller_request = _plain_request(caller, service, request, body)
            return await send_raw(
                self._serve(caller_request, request), caller.key
            )

    async def list_models(self, request: web.Request) -> web.Response:
        organisation = self._keys.organisation_of(request.headers)
        models = [
            {'id': model, 'object': 'model', 'owned_by': service.name}
            for service in self._services(organisation)
            for model in service.models
        ]
        return _json({'object': 'list', 'data': models})

    async def show_budget(self, request: web.Request) -> web.Response:
        budget = self._caller(request).budget
        balance = self._backend.balance_of(budget)
        document = {
            'budget': budget,
            'topped_up_tokens': balance.topped_up,
            'spent_tokens': balance.billed + balance.wasted,
            'held_tokens': balance.outstanding,
            'free_tokens': balance.left,
        }
        return _json(document)

    async def show_health(self, request: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def show_readiness(self, request: web.Request) -> web.Response:
        obstacle = self._backend.server.obstacle
        if not obstacle:
            return web.Response(text='ready\n')
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            text=f'not ready: {obstacle}\n',
        )

    async def show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._backend.metrics_page(),
            headers={'Content-Type': METRICS_TYPE},
        )

    def _caller(self, request: web.Request) -> Caller:
        organisation = self._keys.organisation_of(request.headers)
        return parse_caller(organisation, request.headers)

    def _services(self, organisation: str) -> list[Service]:
        current = self._backend.configuration()
        open_to = current.organisations_by_name[organisation].services
        return [
            service
            for service in current.services_by_name.values()
            if not open_to or service.name in open_to
        ]

    def _service(self, caller: Caller, name: str) -> Service:
        for service in self._services(caller.organisation):
            if service.name == name:
                return service
        raise _not_found('no such service')

    def _model_service(self, caller: Caller, model: str) -> Service:
        for service in self._services(caller.organisation):
            if model in service.models:
                return service
        raise _not_found('no such model')

    def _model_request(
        self,
        caller: Caller,
        request: web.Request,
        body: bytes,
        completion: Completion,
    ) -> CallerRequest:
        service = self._model_service(caller, completion.model)
        limits = token_bounds(completion, service)
        base = _request(caller, service, request, body, idempotent=True)
        return base._replace(
            path=request.path,
            prompt_bound=limits.prompt_bound,
            cap=limits.cap,
            prefixes=limits.prefixes,
        )

    def _serve(
        self, caller_request: CallerRequest, request: web.Request
    ) -> Events:
        traceparent = request.headers.get('traceparent', '')
        return self._backend.server.serve(
            caller_request, traceparent=traceparent
        )


@web.middleware
async def _explain_failures(
    request: web.Request,
    handler: _Handler,
) -> web.StreamResponse:
    """Convert failures to JSON error responses."""
    try:
        return await handler(request)
    except FailureError as error:
        return refusal_response(error.failure)
    except web.HTTPNotFound:
        return refusal_response(_not_found('no such path').failure)


def _plain_request(
    caller: Caller,
    service: Service,
    request: web.Request,
    body: bytes,
) -> CallerRequest:
    is_idempotent = request.method not in service.unsafe_methods
    base = _request(caller, service, request, body, idempotent=is_idempotent)
    return base._replace(prompt_bound=service.price_tokens)


def _request(
    caller: Caller,
    service: Service,
    request: web.Request,
    body: bytes,
    *,
    idempotent: bool,
) -> CallerRequest:
    path = _target_path(request)
    max_s = service.deadline_ms / MS_PER_S
    deadline_s = caller.deadline_s
    return CallerRequest(
        request=RequestKey(
            caller.organisation,
            scoped_key(caller.key, service.name, idempotent=idempotent),
        ),
        budget=caller.budget,
        service=service.name,
        method=request.method,
        path=path,
        content_type=request.headers.get('Content-Type', ''),
        body=body,
        digest=_digest(service.name, request.method, path, body),
        idempotent=idempotent,
        prompt_bound=0,
        cap=0,
        priority=caller.priority,
        deadline_s=min(max_s, deadline_s or max_s),
        has_generated_key=caller.has_generated_key,
    )


def _target_path(request: web.Request) -> str:
    """Return the path after the service's prefix, still encoded."""
    segments = request.rel_url.raw_path.split('/')[SERVICE_SEGMENTS:]
    path = '/'.join(('', *segments))
    query = request.rel_url.raw_query_string
    return f'{path}?{query}' if query else path


def _digest(*parts: str | bytes) -> Digest:
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        hasher.update(len(encoded).to_bytes(8))
        hasher.update(encoded)
    return Digest(hasher.hexdigest())


def _json(document: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        content_type=JSON_TYPE,
    )


def _not_found(text: str) -> FailureError:
    return failure_error(Code.NOT_FOUND, step='route', peer='', text=text)

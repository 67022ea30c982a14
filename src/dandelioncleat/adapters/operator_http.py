"""Serves operators over HTTP, below ``/operator``.

Every request needs an operator's bearer key. Answers are JSON; a refusal is
``{"code", "step", "peer", "text"}``.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Annotated, Any

import msgspec
from aiohttp import web

from dandelioncleat.adapters._caller_body import BodyMemory, ReservedBody
from dandelioncleat.app.operator import OperatorBackend
from dandelioncleat.core.configuration_document import as_builtins, document_of
from dandelioncleat.core.configuration_history import VersionEntry
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import Code, Failure, FailureError
from dandelioncleat.core.identity import BudgetId, Digest, Incarnation
from dandelioncleat.core.patch import MAX_BODY_BYTES
from dandelioncleat.core.patch_verdict import (
    AnyPatchVerdict,
    PatchAccepted,
    PatchConflict,
    PatchInvalid,
    PatchReused,
)
from dandelioncleat.core.record import Patch

MAX_ID_CHARACTERS = 128
_BODY = web.RequestKey('body', ReservedBody)
_STATUS_BY_CODE = {  # noqa: WPS407
    Code.CAPACITY: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.CONFLICT: HTTPStatus.CONFLICT,
    Code.CREDENTIAL: HTTPStatus.UNAUTHORIZED,
    Code.INVALID: HTTPStatus.BAD_REQUEST,
    Code.LOG: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Code.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_CHARACTERS)]
_Tokens = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
_Handler = Callable[[web.Request, str], Awaitable[web.Response]]


class TopUpOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Asks for tokens, for the organisation or one of its budgets."""

    tokens: _Tokens
    reference: _Id
    budget: str = ''


class RetireOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to fence a holder."""

    holder: Incarnation
    reason: str = ''


class ReleaseOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to free a holder's tokens; ``gone`` sidecars are lost."""

    holder: Incarnation
    gone: tuple[Incarnation, ...] = ()


class AbsolveOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to lift the quarantine of a request."""

    digest: Digest


def add_operator_routes(
    application: web.Application,
    backend: OperatorBackend,
    memory: BodyMemory | None = None,
) -> None:
    """Add the operators' routes to a router's HTTP server.

    :param memory: limits the bodies, beside those of callers
    """
    memory = memory or BodyMemory()
    routes = _OperatorRoutes(backend)
    handlers: dict[tuple[str, str], _Handler] = {
        ('POST', 'patches'): routes.submit_patch,
        ('GET', 'patches/{patch}'): routes.show_patch,
        ('GET', 'configuration'): routes.show_configuration,
        ('GET', 'configuration/history'): routes.list_history,
        ('GET', 'organisations'): routes.list_organisations,
        ('GET', 'organisations/{name}'): routes.show_organisation,
        ('POST', 'organisations/{name}/top-ups'): routes.top_up,
        ('GET', 'holders'): routes.list_holders,
        ('POST', 'retirements'): routes.retire,
        ('POST', 'releases'): routes.release,
        ('POST', 'absolutions'): routes.absolve,
        ('GET', 'targets'): routes.list_targets,
        ('GET', 'status'): routes.show_status,
    }
    for (method, path), handler in handlers.items():
        authenticated = _with_operator(backend, memory, handler)
        application.router.add_route(method, f'/operator/{path}', authenticated)


class _OperatorRoutes:
    """Translates between HTTP and the backend."""

    def __init__(self, backend: OperatorBackend) -> None:
        self._backend = backend

    async def submit_patch(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        body = await _read_body(request)
        against = _whole_number(request.query.get('against'), 'against')
        patch = Patch(_patch_id(request), against, operator, body)
        verdict = await self._backend.configuration.submit(patch)
        return _verdict_response(verdict)

    async def show_patch(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        patch = request.match_info['patch']
        return _response(self._backend.configuration.verdict_of(patch))

    async def show_configuration(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        text = request.query.get('version')
        version = None if text is None else _whole_number(text, 'version')
        configuration = self._backend.configuration.at(version)
        return _response(
            {
                'version': configuration.version,
                'digest': configuration.digest,
                'document': document_of(configuration),
            },
        )

    async def list_history(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        entries = self._backend.configuration.history()
        return _response([_history_line(entry) for entry in entries])

    async def list_organisations(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        return _response(self._backend.budgets.organisations())

    async def show_organisation(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        name = request.match_info['name']
        return _response(self._backend.budgets.organisation(name))

    async def top_up(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        order = _decode(await _read_body(request), TopUpOrder)
        name = request.match_info['name']
        budget = f'{name}/{order.budget}' if order.budget else name
        is_new = await self._backend.budgets.top_up(
            BudgetId(budget),
            order.tokens,
            order.reference,
        )
        return _response({'budget': budget, 'repeated': not is_new})

    async def list_holders(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        return _response(self._backend.status.holders())

    async def retire(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        order = _decode(await _read_body(request), RetireOrder)
        await self._backend.budgets.retire(order.holder, operator, order.reason)
        return _response({'retired': order.holder})

    async def release(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        order = _decode(await _read_body(request), ReleaseOrder)
        freed = await self._backend.budgets.release(
            order.holder, operator, order.gone
        )
        return _response({'released': order.holder, 'tokens': freed})

    async def absolve(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        order = _decode(await _read_body(request), AbsolveOrder)
        await self._backend.budgets.absolve(order.digest, operator)
        return _response({'absolved': order.digest})

    async def list_targets(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        return _response(self._backend.status.targets())

    async def show_status(
        self,
        request: web.Request,
        operator: str,
    ) -> web.Response:
        return _response(await self._backend.status.fleet())


def _with_operator(
    backend: OperatorBackend,
    memory: BodyMemory,
    handler: _Handler,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def authenticated(request: web.Request) -> web.Response:  # noqa: WPS430
        if not backend.is_ready:
            text = 'the streams are not yet read to their end'
            return _refusal(Code.NOT_READY, 'start', text)
        scheme, _, key = request.headers.get('Authorization', '').partition(' ')
        operator = backend.operator_of(key.strip())
        if scheme.lower() != 'bearer' or operator is None:
            return _refusal(
                Code.CREDENTIAL, 'authorise', 'missing or invalid operator key'
            )
        try:
            with memory.reserve(request, max_body_bytes=MAX_BODY_BYTES) as body:
                request[_BODY] = body
                return await handler(request, operator)
        except FailureError as error:
            return _failure_response(error.failure)

    return authenticated


async def _read_body(request: web.Request) -> bytes:
    return await request[_BODY].read()


def _decode(body: bytes, order_type: type[Any]) -> Any:
    try:
        return decode_bytes(msgspec.json.Decoder(order_type).decode, body)
    except UnreadableError as error:
        raise _invalid('body', str(error)) from error


def _patch_id(request: web.Request) -> str:
    patch = request.query.get('id', '')
    if not 0 < len(patch) <= MAX_ID_CHARACTERS:
        raise _invalid('id', f'id has 1 to {MAX_ID_CHARACTERS} characters')
    return patch


def _whole_number(text: str | None, step: str) -> int:
    if text is None or not (text.isascii() and text.isdigit()):
        raise _invalid(step, f'{step} is a whole number')
    return int(text[:MAX_ID_CHARACTERS])


def _invalid(step: str, text: str) -> FailureError:
    return FailureError(Failure(Code.INVALID, step, 'router', text))


def _history_line(entry: VersionEntry) -> dict[str, Any]:
    return {
        'version': entry.version,
        'digest': entry.digest,
        'patch': entry.patch.patch,
        'operator': entry.patch.operator,
        'appended_at': entry.appended_at,
    }


def _verdict_response(verdict: AnyPatchVerdict) -> web.Response:
    match verdict:
        case PatchAccepted():
            return _response(verdict)
        case PatchConflict() | PatchReused():
            return _response(verdict, status=HTTPStatus.CONFLICT)
        case PatchInvalid():
            return _response(verdict, status=HTTPStatus.UNPROCESSABLE_ENTITY)


def _refusal(code: Code, step: str, text: str) -> web.Response:
    return _failure_response(Failure(code, step, 'router', text))


def _failure_response(failure: Failure) -> web.Response:
    status = _STATUS_BY_CODE.get(failure.code, HTTPStatus.BAD_GATEWAY)
    return _response(failure, status=status)


def _response(
    answer: Any,
    *,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(as_builtins(answer)),
        status=status,
        content_type='application/json',
    )

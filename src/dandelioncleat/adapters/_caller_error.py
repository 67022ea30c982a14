"""Error responses to callers: an HTTP status and a JSON body."""

import math
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.request import AnswerEnd, RequestOutcome

JSON_TYPE = 'application/json'
RETRY_AFTER_S = 1
STATUS_BY_CODE = {  # noqa: WPS407
    Code.BUDGET: HTTPStatus.PAYMENT_REQUIRED,
    Code.CAPACITY: HTTPStatus.TOO_MANY_REQUESTS,
    Code.CONFLICT: HTTPStatus.CONFLICT,
    Code.CREDENTIAL: HTTPStatus.UNAUTHORIZED,
    Code.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Code.FENCED: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.INVALID: HTTPStatus.BAD_REQUEST,
    Code.LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.LOG: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.NOT_FOUND: HTTPStatus.NOT_FOUND,
    Code.NOT_HOME: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.POISON: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.SEALED: HTTPStatus.SERVICE_UNAVAILABLE,
    Code.SUPERSEDED: HTTPStatus.CONFLICT,
    Code.TARGET: HTTPStatus.BAD_GATEWAY,
    Code.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Code.UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}
RETRYABLE_STATUSES = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def status_of(failure: Failure, outcome: RequestOutcome) -> HTTPStatus:
    """Return the HTTP status of a failure; an unknown outcome has its own."""
    if failure.code == Code.CREDENTIAL and failure.step == 'authorise':
        return HTTPStatus.FORBIDDEN
    is_unknown = outcome is RequestOutcome.UNKNOWN
    if is_unknown and failure.code != Code.NOT_READY:
        return HTTPStatus.GATEWAY_TIMEOUT
    return STATUS_BY_CODE[failure.code]


def error_document(
    failure: Failure,
    outcome: RequestOutcome,
    key: str,
) -> dict[str, Any]:
    """Return the JSON body that describes a failure."""
    return {
        'error': {
            'message': failure.text,
            'type': 'dandelioncleat_error',
            'code': failure.code,
            'step': failure.step,
            'peer': failure.peer,
            'outcome': outcome,
            'request_key': key,
        },
    }


def refusal_response(failure: Failure) -> web.Response:
    """Return the response to a request that was not accepted."""
    return _response(failure, RequestOutcome.NOT_RUN, '', 0)


def failure_response(end: AnswerEnd, key: str) -> web.Response:
    """Return the response to a request that ended without an answer."""
    failure = end.failure or Failure(Code.UNKNOWN, 'answer', '', 'no answer')
    return _response(failure, end.outcome, key, end.retry_after_s)


def _response(
    failure: Failure,
    outcome: RequestOutcome,
    key: str,
    retry_after_s: float,
) -> web.Response:
    status = status_of(failure, outcome)
    response = web.Response(
        status=status,
        body=msgspec.json.encode(error_document(failure, outcome, key)),
        content_type=JSON_TYPE,
    )
    if status in RETRYABLE_STATUSES:
        wait_s = math.ceil(retry_after_s) or RETRY_AFTER_S
        response.headers['Retry-After'] = str(wait_s)
    if status == HTTPStatus.UNAUTHORIZED:
        response.headers['WWW-Authenticate'] = 'Bearer'
    return response

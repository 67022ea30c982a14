"""Decodes a caller's HTTP request."""

from collections.abc import Mapping

from aiohttp import web
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.direct_request import (
    DirectRequest,
    Headers,
    ModelPrompt,
    PromptPart,
)
from dandelioncleat.core.whole_number import whole_number
from dandelioncleat.platform import names

_MS_PER_S = 1000
_MAX_WAIT_S = 3600.0
MAX_ARRIVALS = 1000


class _MalformedError(ValueError):
    """Raised for a header with an invalid value."""


def decode_request(
    request: web.BaseRequest, body: bytes
) -> Result[DirectRequest, str]:
    """Return the request, or a description of what is wrong with it."""
    headers = request.headers
    name = headers.get(names.REQUEST_ID)
    if not name:
        return Failed(f'{names.REQUEST_ID} is missing')
    try:
        return Success(
            DirectRequest(
                id=name,
                method=request.method,
                host=headers.get('Host', '').rpartition(':')[0]
                or headers.get('Host', ''),
                path=_encodable(request.raw_path),
                headers=_end_to_end_headers(request),
                body=body,
                key=_key(headers.get(names.API_KEY)),
                wait_s=_wait_s(headers.get(names.DEADLINE_MS)),
                prompt=_prompt(request),
                resume_after=headers.get(names.RESUME_AFTER),
                resumed_request=headers.get(names.RESUMED_REQUEST),
                is_forwarded=names.FORWARDED in headers,
                earlier_arrivals=arrivals_in(headers),
                sender_version=_sender_version(headers),
            )
        )
    except _MalformedError as error:
        return Failed(str(error))


def arrivals_in(headers: Mapping[str, str]) -> int | None:
    """Return how often other routers have sent a request to targets."""
    arrivals = whole_number(headers.get(names.ARRIVALS, ''))
    return None if arrivals is None else min(MAX_ARRIVALS, arrivals)


def _sender_version(headers: Mapping[str, str]) -> int | None:
    if names.FORWARDED not in headers:
        return None
    return whole_number(headers.get(names.SENDER_VERSION, ''))


def _end_to_end_headers(request: web.BaseRequest) -> Headers:
    dropped = (
        names.RESERVED_HEADERS
        | names.HOP_BY_HOP_HEADERS
        | _connection_options(request)
    )
    return tuple(
        (name, _encodable(text))
        for name, text in request.headers.items()
        if name.lower() not in dropped
    )


def _encodable(text: str) -> str:
    """Return a text that can be sent on as it came.

    The client writes heads in UTF-8 and would drop other bytes.
    """
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _MalformedError('the head is not UTF-8') from error
    return text


def _connection_options(request: web.BaseRequest) -> frozenset[str]:
    """Return the names that the ``Connection`` header declares hop-by-hop."""
    options = request.headers.get('Connection', '')
    found = (name.strip().lower() for name in options.split(','))
    kept = {'host', names.REQUEST_ID.lower(), 'content-type'}
    return frozenset(name for name in found if name and name not in kept)


def _key(text: str | None) -> str | None:
    if text is None or not text.lower().startswith(names.API_KEY_SCHEME):
        return None
    return text[len(names.API_KEY_SCHEME) :].strip()


def _wait_s(text: str | None) -> float | None:
    if text is None:
        return None
    wait_ms = whole_number(text)
    if wait_ms is None:
        raise _MalformedError(f'{names.DEADLINE_MS} must be a whole number')
    return min(_MAX_WAIT_S, wait_ms / _MS_PER_S)


def _prompt(request: web.BaseRequest) -> ModelPrompt | None:
    counts = request.headers.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    first, _, second = counts.partition(',')
    return ModelPrompt(
        model=request.headers.get(names.MODEL, ''),
        input_tokens=_count(first),
        output_tokens=_count(second),
        parts=_parts(request.headers.get(names.PROMPT_PARTS, '')),
    )


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name:
            parts.append(PromptPart(name, _count(tokens)))
    return tuple(parts)


def _count(text: str) -> int:
    count = whole_number(text.strip())
    if count is None:
        raise _MalformedError(
            f'a token count must be a whole number, not {text.strip()!r}'
        )
    return count

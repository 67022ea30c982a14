"""Validates an OpenAI-compatible body and bounds its tokens."""

from typing import Any, NamedTuple

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.configuration import Service
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Digest
from dandelioncleat.core.prompt import prefix_digests, prompt_text

STEP = 'body'
MAX_TOKENS = 1_000_000


class _Options(msgspec.Struct):
    """The body fields that affect routing and price."""

    model: str
    prompt: str | list[str] | None = None
    messages: list[dict[str, Any]] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1  # noqa: WPS111
    best_of: int = 1
    tools: Any = None
    functions: Any = None
    response_format: Any = None


class Completion(NamedTuple):
    """A valid body; ``extra_bytes`` may add to the prompt's tokens."""

    model: str
    text: str
    messages: int
    extra_bytes: int
    cap: int | None
    is_streamed: bool


class TokenBounds(NamedTuple):
    """Upper bounds of a run's tokens, and its prompt's prefix digests."""

    prompt_bound: int
    cap: int
    prefixes: tuple[Digest, ...]


_DECODER = msgspec.json.Decoder(_Options)


def parse_completion(
    body: bytes, *, is_chat: bool
) -> Result[Completion, Failure]:
    """Parse and validate the body of a completion or a chat."""
    try:
        options = decode_bytes(_DECODER.decode, body)
        text = prompt_text(body)
    except UnreadableError as error:
        return Failed(_invalid(f'not a valid body: {error}'))
    error_text = _validation_error(options, is_chat=is_chat)
    if error_text:
        return Failed(_invalid(error_text))
    cap = options.max_completion_tokens
    return Success(
        Completion(
            model=options.model,
            text=text,
            messages=len(options.messages or ()),
            extra_bytes=_extra_bytes(options, len(body)),
            cap=options.max_tokens if cap is None else cap,
            is_streamed=options.stream,
        ),
    )


def token_bounds(completion: Completion, service: Service) -> TokenBounds:
    """Return upper bounds of a run's tokens.

    A token covers at least one byte of the prompt; the chat template adds
    its allowance once for the prompt and once for each message.
    """
    text_bytes = len(completion.text.encode())
    template = service.template_tokens * (completion.messages + 1)
    cap = completion.cap
    return TokenBounds(
        text_bytes + template + completion.extra_bytes,
        service.default_max_tokens if cap is None else cap,
        prefix_digests(completion.text),
    )


def _validation_error(options: _Options, *, is_chat: bool) -> str:
    if is_chat and not options.messages:
        return 'messages: at least one is expected'
    if not is_chat and not isinstance(options.prompt, str):
        return 'prompt: one text is expected'
    if options.n != 1 or options.best_of != 1:
        return 'n and best_of: only 1 is served'
    for cap in (options.max_tokens, options.max_completion_tokens):
        if cap is not None and not 0 < cap <= MAX_TOKENS:
            return f'max_tokens: expected 1 to {MAX_TOKENS}'
    if not all(map(_is_text, options.messages or ())):
        return 'messages: only text is served'
    return ''


def _is_text(message: dict[str, Any]) -> bool:
    content = message.get('content')
    if isinstance(content, list):
        return all(map(_is_text_part, content))
    return content is None or isinstance(content, str)


def _is_text_part(part: Any) -> bool:
    return isinstance(part, dict) and part.get('type') == 'text'


def _extra_bytes(options: _Options, body_bytes: int) -> int:
    extras = (options.tools, options.functions, options.response_format)
    has_calls = any(
        set(message) - {'role', 'content', 'name'}
        for message in options.messages or ()
    )
    if has_calls or any(extra is not None for extra in extras):
        return body_bytes
    return 0


def _invalid(text: str) -> Failure:
    return Failure(Code.INVALID, STEP, '', text)

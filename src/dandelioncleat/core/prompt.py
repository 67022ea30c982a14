"""The prompt of an OpenAI-shaped body, and digests of its prefixes."""

from typing import Any

import msgspec
import xxhash

from dandelioncleat.core.identity import Digest

MIN_PREFIX_BYTES = 256


class _Message(msgspec.Struct):
    """One message of a chat; ``content`` is a text or a list of parts."""

    role: str = 'user'
    content: Any = ''


class _Body(msgspec.Struct):
    """The fields of a body that hold its prompt."""

    prompt: str | list[str] = ''
    messages: list[_Message] = []


_BODY_DECODER = msgspec.json.Decoder(_Body)


def prompt_text(body: bytes) -> str:
    """Return the whole prompt of a completion's or a chat's body.

    Raises ``msgspec.DecodeError`` on a body that holds neither.
    """
    decoded = _BODY_DECODER.decode(body)
    if decoded.messages:
        return ''.join(_message_text(each) for each in decoded.messages)
    if isinstance(decoded.prompt, str):
        return decoded.prompt
    return ''.join(decoded.prompt)


def prefix_digests(prompt: str) -> tuple[Digest, ...]:
    """Return digests of ever longer prefixes, each twice the one before."""
    encoded = prompt.encode()
    hasher = xxhash.xxh3_64()
    digests: list[Digest] = []
    start = 0
    end = MIN_PREFIX_BYTES
    while end <= len(encoded):
        hasher.update(encoded[start:end])
        digests.append(Digest(hasher.hexdigest()))
        start = end
        end *= 2
    return tuple(digests)


def _message_text(message: _Message) -> str:
    return f'{message.role}: {_content_text(message.content)}\n'


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return ''.join(_part_text(part) for part in content)
    return ''


def _part_text(part: Any) -> str:
    if isinstance(part, dict):
        return str(part.get('text', ''))
    return str(part)

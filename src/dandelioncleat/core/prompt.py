"""The prompt of an OpenAI-compatible body, and digests of its prefixes."""

from typing import Any

import msgspec
import xxhash

from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.core.identity import Digest

MIN_PREFIX_BYTES = 256


class _Message(msgspec.Struct):
    """A chat message; ``content`` is a text or a list of parts."""

    role: str = 'user'
    content: Any = ''


class _Body(msgspec.Struct):
    """The fields of a body that hold its prompt."""

    prompt: str | list[str] = ''
    messages: list[_Message] = []


_BODY_DECODER = msgspec.json.Decoder(_Body)


def prompt_text(body: bytes) -> str:
    """Return the prompt text of the body of a completion or a chat.

    :raises UnreadableError: if the body can't be decoded as either
    """
    decoded = decode_bytes(_BODY_DECODER.decode, body)
    if decoded.messages:
        return ''.join(_message_text(each) for each in decoded.messages)
    if isinstance(decoded.prompt, str):
        return decoded.prompt
    return ''.join(decoded.prompt)


def prefix_digests(prompt: str) -> tuple[Digest, ...]:
    """Return digests of prefixes, each twice as long as the one before."""
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

"""Derives token counts, prefixes and the answer from a request body.

A prompt has one token per four bytes, rounded up, and at least one. A body
may state its lengths in a ``standin`` object instead. There it may also name
a prefix that it shares, or declare itself poison, which crashes the target.
"""

import hashlib
from typing import NamedTuple

import msgspec

from dandelioncleat.core.identity import Digest
from dandelioncleat.core.prompt import (
    MIN_PREFIX_BYTES,
    prefix_digests,
    prompt_text,
)
from dandelioncleat.standin.prefix_cache import Prefix

BYTES_PER_TOKEN = 4
MEAN_OUTPUT_TOKENS = 24
DIGEST_LENGTH = 8


class Stated(msgspec.Struct, frozen=True):
    """Options of a body for stand-ins; 0 means derived from the prompt.

    ``prefix_tokens`` is the length of the named ``prefix``, by default half
    of the prompt.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    poison: bool = False
    prefix: str = ''
    prefix_tokens: int = 0


class _Body(msgspec.Struct, frozen=True):
    """The part of a body that only stand-ins read."""

    standin: Stated = Stated()


class Prompt(NamedTuple):
    """A parsed prompt.

    ``output_tokens`` is the length of the answer if no cap ends it.
    """

    answer: str
    tokens: int
    output_tokens: int
    poison: bool
    prefixes: tuple[Prefix, ...]


_BODY_DECODER = msgspec.json.Decoder(_Body)


def new_prompt(body: bytes) -> Prompt:
    """Parse a body; raise ``msgspec.MsgspecError`` without a prompt."""
    stated = _BODY_DECODER.decode(body).standin
    text = prompt_text(body)
    tokens = stated.prompt_tokens or count_tokens(text)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return Prompt(
        answer=digest[:DIGEST_LENGTH],
        tokens=tokens,
        output_tokens=stated.output_tokens or _derived_output_tokens(digest),
        poison=stated.poison,
        prefixes=_prefixes(stated, text, tokens),
    )


def is_poison(body: bytes) -> bool:
    """Return whether a body crashes the target; false if unreadable."""
    try:
        return _BODY_DECODER.decode(body).standin.poison
    except msgspec.MsgspecError:
        return False


def count_tokens(text: str) -> int:
    """Count the tokens of a prompt."""
    return max(1, -(-len(text.encode()) // BYTES_PER_TOKEN))


def named_prefix(name: str) -> Digest:
    """Return the digest of a named prefix."""
    return Digest(hashlib.sha256(name.encode()).hexdigest()[:16])


def answer_text(prompt: Prompt, start: int, end: int) -> str:
    """Return the tokens ``start`` to ``end`` of the answer to a prompt."""
    return ''.join(f'{prompt.answer}.{number} ' for number in range(start, end))


def _derived_output_tokens(digest: str) -> int:
    return 1 + int(digest[:4], 16) % (2 * MEAN_OUTPUT_TOKENS)


def _prefixes(stated: Stated, text: str, tokens: int) -> tuple[Prefix, ...]:
    if stated.prefix:
        length = min(stated.prefix_tokens or tokens // 2, tokens)
        return (Prefix(named_prefix(stated.prefix), length),)
    if stated.prompt_tokens:
        return ()
    prefixes: list[Prefix] = []
    length = MIN_PREFIX_BYTES // BYTES_PER_TOKEN
    for number, digest in enumerate(prefix_digests(text)):
        prefixes.append(Prefix(digest, length))
        length *= 2 if number else 1
    return tuple(prefixes)

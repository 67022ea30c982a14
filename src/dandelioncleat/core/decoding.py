"""Decodes bytes that anybody may have written."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

ValueT = TypeVar('ValueT')

# A decoder recurses into nested values, also into those that it skips.
_DECODER_ERRORS = (ValueError, ArithmeticError, RecursionError)


class UnreadableError(msgspec.DecodeError):
    """The bytes can't be decoded, whatever they hold."""


def decode_bytes(decode: Callable[[bytes], ValueT], data: bytes) -> ValueT:
    """Return what a decoder makes of some bytes.

    :param decode: the decoder; it may raise any error of its library
    :raises UnreadableError: if it can't decode them
    """
    try:
        return decode(data)
    except _DECODER_ERRORS as error:
        raise UnreadableError(str(error)) from error

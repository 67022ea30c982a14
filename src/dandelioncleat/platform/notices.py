"""Decodes what targets' answers say about further requests."""

import re
from collections.abc import Mapping
from math import isfinite

from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.platform import names

UNAVAILABLE = 503
LEAVING = '1'
# Bounds what is logged of a limit that can't be read, in characters.
MAX_INVALID_LENGTH = 40
_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')


def target_notice(status: int, headers: Mapping[str, str]) -> TargetNotice:
    """Return the notice in an answer of a target.

    :param headers: the answer's headers; names are matched in any case
    """
    pause_s = None
    if status == UNAVAILABLE:
        pause_s = _seconds(headers.get(names.RETRY_AFTER))
    limit = headers.get(names.RATE_LIMIT)
    limit_per_s = _decimal(limit)
    invalid_limit = None
    if limit is not None and limit_per_s is None:
        invalid_limit = limit[:MAX_INVALID_LENGTH]
    return TargetNotice(
        headers.get(names.LEAVING) == LEAVING,
        pause_s,
        limit_per_s,
        invalid_limit,
    )


def _seconds(text: str | None) -> float | None:
    """Return a positive number of seconds; ``None`` for anything else."""
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else None


def _decimal(text: str | None) -> float | None:
    """Return a decimal number; ``None`` for anything else."""
    if text is None or _DECIMAL.fullmatch(text) is None:
        return None
    return float(text)

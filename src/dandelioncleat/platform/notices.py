"""Decodes what targets' answers say about further requests."""

import re
from collections.abc import Iterable, Mapping
from math import isfinite

import structlog

from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.platform import names

UNAVAILABLE = 503
LEAVING = '1'
# Bounds what is logged of a limit that can't be read, in characters.
MAX_INVALID_LENGTH = 40
# Bounds the headers that a faulty target may have logged.
MAX_UNKNOWN = 32
_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')

_logger = structlog.get_logger(__name__)


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


class UnknownNotices:
    """Logs each notice of targets that this version can't decode, once."""

    def __init__(self) -> None:
        """Start without a notice."""
        self._names: set[str] = set()

    def note(self, target: str, headers: Iterable[tuple[str, str]]) -> None:
        """Log the unknown notices in an answer."""
        for name, text in headers:
            lowered = name.lower()
            if _is_unknown(lowered) and lowered not in self._names:
                self._log(target, lowered, text)

    def _log(self, target: str, name: str, text: str) -> None:
        if len(self._names) >= MAX_UNKNOWN:
            return
        self._names.add(name)
        _logger.warning(
            'unknown notice of a target',
            target=target,
            name=name[:MAX_INVALID_LENGTH],
            text=text[:MAX_INVALID_LENGTH],
        )


def _is_unknown(name: str) -> bool:
    is_notice = name.startswith(names.TARGET_NOTICE_PREFIX)
    return is_notice and name not in names.KNOWN_TARGET_NOTICES


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

"""Decodes what targets' answers say about further requests."""

from collections.abc import Mapping
from math import isfinite

from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.platform import names

UNAVAILABLE = 503
LEAVING = '1'


def target_notice(status: int, headers: Mapping[str, str]) -> TargetNotice:
    """Return the notice in an answer of a target.

    :param headers: the answer's headers; names are matched in any case
    """
    pause_s = None
    if status == UNAVAILABLE:
        pause_s = _seconds(headers.get(names.RETRY_AFTER))
    return TargetNotice(headers.get(names.LEAVING) == LEAVING, pause_s)


def _seconds(text: str | None) -> float | None:
    """Return a positive number of seconds; ``None`` for anything else."""
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else None

"""Keeps the limits that targets name for requests a second."""

import asyncio
from typing import NamedTuple

import structlog

from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.target_notice import TargetNotice

_logger = structlog.get_logger(__name__)


class KnownLimit(NamedTuple):
    """A limit that a target names, in requests a second from all hosts.

    ``heard_at`` is when this host last heard it, an event loop time in
    seconds.
    """

    per_s: float
    heard_at: float


class TargetLimits:
    """Keeps the limit of each start of a target that names one."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits_by_start: dict[str, KnownLimit] = {}
        self._invalid_starts: set[str] = set()

    def note_poll(self, target: TargetEntry, notice: TargetNotice) -> None:
        """Apply the answer to a poll, which ends no limit."""
        self._note_invalid(target, notice)
        if notice.limit_per_s is not None:
            self._hear(target, notice.limit_per_s, sent_at=_now())

    def note_answer(
        self,
        target: TargetEntry,
        notice: TargetNotice,
        *,
        sent_at: float,
        is_success: bool,
    ) -> None:
        """Apply the answer to a request.

        A target that names no limit any more has none. Answers overtake each
        other, so only one to a request that was sent after the limit was last
        heard tells that it has ended.

        :param sent_at: when the request was sent, an event loop time
        """
        self._note_invalid(target, notice)
        if notice.limit_per_s is not None:
            self._hear(target, notice.limit_per_s, sent_at=sent_at)
            return
        known = self._limits_by_start.get(target.start)
        if known is None or notice.invalid_limit is not None:
            return
        if is_success and sent_at > known.heard_at:
            self._end(target.start)

    def _hear(
        self, target: TargetEntry, per_s: float, *, sent_at: float
    ) -> None:
        known = self._limits_by_start.get(target.start)
        if known is None:
            _logger.info(
                'target names a limit', target=target.id, limit_per_s=per_s
            )
        elif per_s > known.per_s and sent_at <= known.heard_at:
            # A later answer may have named the lower limit.
            per_s = known.per_s
        elif per_s != known.per_s:
            _logger.info(
                'limit of a target changed',
                target=target.id,
                limit_per_s=per_s,
                earlier_per_s=known.per_s,
            )
        self._limits_by_start[target.start] = KnownLimit(per_s, _now())

    def _end(self, start: str) -> None:
        known = self._limits_by_start.pop(start)
        _logger.info(
            'limit of a target ended',
            start=start,
            limit_per_s=known.per_s,
            age_s=round(_now() - known.heard_at, 3),
        )

    def _note_invalid(self, target: TargetEntry, notice: TargetNotice) -> None:
        if notice.invalid_limit is None or target.start in self._invalid_starts:
            return
        self._invalid_starts.add(target.start)
        _logger.warning(
            'limit of a target cannot be read',
            target=target.id,
            limit=notice.invalid_limit,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()

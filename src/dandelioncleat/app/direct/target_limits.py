"""Keeps to the requests a second that targets take.

Some name a limit in their answers; a cold target takes few for some seconds.
"""

import asyncio
from collections.abc import Callable, Collection
from math import inf
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.shared_limits import SharedLimits, differs
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.core.deployment import TargetEntry
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.send_share import (
    SendShare,
    TargetHost,
    stricter_share,
)
from dandelioncleat.core.target_notice import TargetNotice
from dandelioncleat.ports.store import KeyedStore

# Bounds what faulty targets may have logged.
MAX_INVALID_STARTS = 100

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

    def __init__(
        self,
        store: KeyedStore,
        *,
        host: str,
        fleet: HostChoice,
        listed_starts: Callable[[], Collection[str]],
    ) -> None:
        """Start without limits.

        :param store: keeps the limits for all routers
        :param host: host of this router
        :param fleet: the hosts that share each limit
        :param listed_starts: returns the starts of all listed targets
        """
        self._host = host
        self._fleet = fleet
        self._shared = SharedLimits(
            store,
            host=host,
            fleet=fleet,
            listed_starts=listed_starts,
            on_change=self._apply_shared,
        )
        self._limits_by_start: dict[str, KnownLimit] = {}
        self._invalid_starts: set[str] = set()

    async def run(self) -> None:
        """Share limits with all routers until cancelled."""
        await self._shared.run()

    def limit_per_s(self, target: TargetEntry) -> float | None:
        """Return the limit of a target, ``None`` if it names none."""
        known = self._limits_by_start.get(target.start)
        return None if known is None else known.per_s

    def wait_s(self, state: TargetState, now: float) -> float:
        """Return when this host may send a target its next request.

        In seconds from now; 0 at once, infinite if only other hosts send.
        """
        share = self._share(state, now)
        if share is None:
            return 0
        if not share.is_sender:
            return inf
        return share.wait_s(state.next_due_at, now)

    def retry_s(self, state: TargetState, now: float) -> float:
        """Return when a caller finds a host that may send, in seconds."""
        share = self._share(state, now)
        if share is None:
            return 0
        return min(self.wait_s(state, now), share.fleet_interval_s)

    def take_turn(self, state: TargetState, now: float) -> None:
        """Count a request that this host sends as soon as it may."""
        share = self._share(state, now)
        if share is not None:
            state.next_due_at = share.next_due_at(state.next_due_at, now)

    def note_poll(self, target: TargetEntry, notice: TargetNotice) -> None:
        """Apply the answer to a poll, which neither raises nor ends a limit."""
        self._note_invalid(target, notice)
        if notice.limit_per_s is not None:
            self._hear(target, notice.limit_per_s, sent_at=-inf)

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
            self._shared.end(target.start)

    def _share(self, state: TargetState, now: float) -> SendShare | None:
        return stricter_share(
            limit_per_s=self.limit_per_s(state.entry),
            cold_per_s=state.cold.rate_per_s(now),
            place=TargetHost(state.entry.id, self._host, self._fleet),
        )

    def _hear(
        self, target: TargetEntry, per_s: float, *, sent_at: float
    ) -> None:
        known = self._limits_by_start.get(target.start)
        if known is not None and sent_at <= known.heard_at:
            # A later answer may have named the lower limit.
            per_s = min(per_s, known.per_s)
        self._set(target.start, per_s)
        self._shared.put(target.start, per_s)

    def _apply_shared(self, start: str, per_s: float | None) -> None:
        """Apply what another router has heard, or this one before."""
        known = self._limits_by_start.get(start)
        if per_s is None:
            if known is not None:
                self._end(start)
        elif known is None or differs(known.per_s, stored=per_s):
            self._set(start, per_s)

    def _set(self, start: str, per_s: float) -> None:
        known = self._limits_by_start.get(start)
        if known is None:
            _logger.info('target names a limit', start=start, limit_per_s=per_s)
        elif per_s != known.per_s:
            _logger.info(
                'limit of a target changed',
                start=start,
                limit_per_s=per_s,
                earlier_per_s=known.per_s,
            )
        self._limits_by_start[start] = KnownLimit(per_s, _now())

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
        if len(self._invalid_starts) >= MAX_INVALID_STARTS:
            return
        self._invalid_starts.add(target.start)
        _logger.warning(
            'limit of a target cannot be read',
            target=target.id,
            limit=notice.invalid_limit,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()

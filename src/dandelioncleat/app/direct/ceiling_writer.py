"""Writes ceilings if no other record was appended meanwhile."""

import asyncio
from typing import NamedTuple

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import TopicFollower
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.holding import Ceiling
from dandelioncleat.core.host_holdings import HostHoldings
from dandelioncleat.ports.store import Appended, ConflictError, KeyedStore

RETRY_PAUSE_S = 0.1
# Keys of ceilings contain a slash, so the barrier deletes none of them.
BARRIER_KEY = 'barrier'

_logger = structlog.get_logger(__name__)


class _ProposedWrite(NamedTuple):
    """Ceilings, and the end of the topic that the append requires."""

    era: int | None
    expected_end: int
    ceilings: tuple[Ceiling, ...]


class CeilingWriter:
    """Writes one change at a time and always learns its outcome.

    An append without an answer is retried at the same offset. Only the first
    append there succeeds; all others fail, also if the store runs them late.
    A restored store gives out its offsets again: the outcome then stays
    unknown, and the lower ceilings count.
    """

    def __init__(
        self,
        store: KeyedStore,
        follower: TopicFollower,
        *,
        holdings: HostHoldings,
    ) -> None:
        """Initialise with the ceilings topic and the state built from it."""
        self._store = store
        self._follower = follower
        self._holdings = holdings

    async def fence(self) -> int:
        """Make all appends of the host's earlier process fail.

        They require an end of the topic that the earlier process has read.
        The append of a barrier moves the end beyond it.

        :returns: the store's era in which they fail
        :raises FailureError: if the store does not answer
        """
        barrier = ((BARRIER_KEY, b''),)
        appended = await self._store.append(self._follower.topic, barrier)
        return appended.era

    async def write(self, ceilings: tuple[Ceiling, ...]) -> bool:
        """Append ceilings; return ``False`` if another append came first."""
        proposed = _ProposedWrite(
            self._follower.era, self._follower.position, ceilings
        )
        for ceiling in self._own(ceilings):
            account = self._holdings.accounts_by_budget[ceiling.budget]
            account.limit.propose(ceiling.tokens)
        while self._follower.era == proposed.era:
            try:
                appended = await self._append(proposed)
            except ConflictError:
                return await self._resolve_conflict(proposed)
            except FailureError as error:
                _logger.debug('ceilings append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                return self._apply_written(proposed, appended)
        return self._give_up(proposed)

    async def _append(self, proposed: _ProposedWrite) -> Appended:
        records = tuple(
            (f'{each.budget}/{each.host}', msgspec.msgpack.encode(each))
            for each in proposed.ceilings
        )
        return await self._store.append(
            self._follower.topic, records, at=proposed.expected_end
        )

    async def _resolve_conflict(self, proposed: _ProposedWrite) -> bool:
        while self._follower.position <= proposed.expected_end:
            if self._follower.era != proposed.era:
                break
            self._follower.read_soon()
            await self._follower.advanced.wait()
        if self._follower.era != proposed.era:
            return self._give_up(proposed)
        for ceiling in self._own(proposed.ceilings):
            account = self._holdings.accounts_by_budget[ceiling.budget]
            stored = self._holdings.records.ceiling_record(
                ceiling.budget, ceiling.host
            )
            if stored == ceiling:
                account.limit.confirm(ceiling.tokens)
            else:
                account.limit.reject()
        return False

    def _apply_written(
        self, proposed: _ProposedWrite, appended: Appended
    ) -> bool:
        if appended.era != proposed.era:
            return self._give_up(proposed)
        for ceiling in proposed.ceilings:
            self._holdings.records.set_ceiling(ceiling)
        for own in self._own(proposed.ceilings):
            account = self._holdings.accounts_by_budget[own.budget]
            account.limit.confirm(own.tokens)
        self._follower.advance_to(appended.end, appended.era)
        return True

    def _give_up(self, proposed: _ProposedWrite) -> bool:
        """Keep the lower ceilings, as the store was restored meanwhile."""
        _logger.warning(
            'outcome of ceilings unknown',
            era=proposed.era,
            expected_end=proposed.expected_end,
            ceilings=len(proposed.ceilings),
        )
        for ceiling in self._own(proposed.ceilings):
            account = self._holdings.accounts_by_budget[ceiling.budget]
            account.limit.keep_lower()
        return False

    def _own(self, ceilings: tuple[Ceiling, ...]) -> list[Ceiling]:
        """Return the ceilings of the host's open accounts."""
        return [
            each
            for each in ceilings
            if each.host == self._holdings.host
            and each.budget in self._holdings.accounts_by_budget
        ]

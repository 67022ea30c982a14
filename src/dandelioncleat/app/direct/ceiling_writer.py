"""Writes a host's ceilings if no other record was appended meanwhile."""

import asyncio
from typing import NamedTuple

import msgspec
import structlog

from dandelioncleat.app.direct.topic_follower import TopicFollower
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.holding import BudgetRecords, Ceiling
from dandelioncleat.core.host_account import HostAccount
from dandelioncleat.ports.store import ConflictError, KeyedStore

RETRY_PAUSE_S = 0.1

_logger = structlog.get_logger(__name__)


class _ProposedWrite(NamedTuple):
    """Ceilings, and the end of the topic that the append requires."""

    expected_end: int
    ceilings: tuple[Ceiling, ...]


class CeilingWriter:
    """Writes one change at a time and always learns its outcome.

    An append without an answer is retried at the same offset. Only the first
    append there succeeds; all others fail, also if the store runs them late.
    """

    def __init__(
        self,
        store: KeyedStore,
        follower: TopicFollower,
        *,
        book: BudgetRecords,
        accounts_by_budget: dict[str, HostAccount],
    ) -> None:
        """Initialise with the ceilings topic and the state built from it."""
        self._store = store
        self._follower = follower
        self._book = book
        self._accounts_by_budget = accounts_by_budget

    async def write(self, ceilings: tuple[Ceiling, ...]) -> bool:
        """Append ceilings; return ``False`` if another append came first."""
        proposed = _ProposedWrite(self._follower.position, ceilings)
        for ceiling in ceilings:
            account = self._accounts_by_budget[ceiling.budget]
            account.propose_ceiling(ceiling.tokens)
        while True:
            try:
                end = await self._append(proposed)
            except ConflictError:
                await self._resolve_conflict(proposed)
                return False
            except FailureError as error:
                _logger.debug('ceilings append failed', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._apply_written(proposed, end)
                return True

    async def _append(self, proposed: _ProposedWrite) -> int:
        records = tuple(
            (f'{each.budget}/{each.host}', msgspec.msgpack.encode(each))
            for each in proposed.ceilings
        )
        return await self._store.append(
            self._follower.topic, records, at=proposed.expected_end
        )

    async def _resolve_conflict(self, proposed: _ProposedWrite) -> None:
        while self._follower.position <= proposed.expected_end:
            await self._follower.advanced.wait()
        for ceiling in proposed.ceilings:
            stored = self._book.ceiling(ceiling.budget, ceiling.host)
            account = self._accounts_by_budget[ceiling.budget]
            account.confirm_ceiling(stored)

    def _apply_written(self, proposed: _ProposedWrite, end: int) -> None:
        for ceiling in proposed.ceilings:
            self._book.set_ceiling(ceiling)
            account = self._accounts_by_budget[ceiling.budget]
            account.confirm_ceiling(ceiling.tokens)
        self._follower.advance_to(end)

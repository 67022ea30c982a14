"""Changes the ceilings of a host in the state that it has read."""

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


class _Attempt(NamedTuple):
    """Ceilings and the offset at which the topic has to end for them."""

    at: int
    ceilings: tuple[Ceiling, ...]


class CeilingWriter:
    """Has at most one change on its way, and knows its outcome for sure.

    An append without an answer is repeated for the same offset. Whoever
    writes there first, the others fail, also if they are done late.
    """

    def __init__(
        self,
        store: KeyedStore,
        follower: TopicFollower,
        *,
        book: BudgetRecords,
        accounts_by_budget: dict[str, HostAccount],
    ) -> None:
        """Take the followed topic and the state that it is folded into."""
        self._store = store
        self._follower = follower
        self._book = book
        self._accounts_by_budget = accounts_by_budget

    async def write(self, ceilings: tuple[Ceiling, ...]) -> bool:
        """Append ceilings; return whether they stand, not others before."""
        attempt = _Attempt(self._follower.position, ceilings)
        for ceiling in ceilings:
            account = self._accounts_by_budget[ceiling.budget]
            account.propose_ceiling(ceiling.tokens)
        while True:
            try:
                end = await self._append(attempt)
            except ConflictError:
                await self._resolve_conflict(attempt)
                return False
            except FailureError as error:
                _logger.debug('ceilings unanswered', reason=str(error))
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._note_written(attempt, end)
                return True

    async def _append(self, attempt: _Attempt) -> int:
        records = tuple(
            (f'{each.budget}/{each.host}', msgspec.msgpack.encode(each))
            for each in attempt.ceilings
        )
        return await self._store.append(
            self._follower.topic, records, at=attempt.at
        )

    async def _resolve_conflict(self, attempt: _Attempt) -> None:
        while self._follower.position <= attempt.at:
            await self._follower.moved.wait()
        for ceiling in attempt.ceilings:
            stands = self._book.ceiling(ceiling.budget, ceiling.host)
            account = self._accounts_by_budget[ceiling.budget]
            account.confirm_ceiling(stands)

    def _note_written(self, attempt: _Attempt, end: int) -> None:
        for ceiling in attempt.ceilings:
            self._book.set_ceiling(ceiling)
            account = self._accounts_by_budget[ceiling.budget]
            account.confirm_ceiling(ceiling.tokens)
        self._follower.move_to(end)

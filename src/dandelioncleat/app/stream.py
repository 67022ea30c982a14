"""Follows one stream of the log and appends to it.

One task reads, one appends and one publishes checkpoints. Callers submit
records and wait for the verdicts that the fold returns when the records are
read back. At the start, and after a gap that the log's retention left,
reading continues from the newest checkpoint.
"""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from dandelioncleat.app._appender import RETRY_DELAY_S, Appender
from dandelioncleat.app._outage import Outage
from dandelioncleat.app._stream_state import StreamState
from dandelioncleat.app.checkpoint import CheckpointPublisher, CheckpointStore
from dandelioncleat.core.envelope import Codec
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.fold import Fold
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.ports.log import Entry, Log

RecordT = TypeVar('RecordT')
VerdictT = TypeVar('VerdictT')

READ_WAIT_S = 10.0


class StreamFollower(Generic[RecordT, VerdictT]):
    """Keeps a fold current with its stream and appends records to it.

    ``last_answer_at`` is the last time of the event loop, in seconds, at
    which the log answered a read, and ``current_at`` the last at which the
    fold is known to have been current.
    """

    def __init__(
        self,
        *,
        log: Log,
        name: str,
        fold: Fold[RecordT, VerdictT],
        codec: Codec[RecordT],
        producer: Incarnation,
    ) -> None:
        """Take the log, the stream's name and the fold to keep current."""
        self.name = name
        self.fold = fold
        self.caught_up = asyncio.Event()
        self.last_answer_at = float('-inf')
        self.current_at = float('-inf')
        self.state = StreamState(fold=fold, codec=codec)
        self._log = log
        self.outage = Outage()
        self.appender: Appender[RecordT, VerdictT] = Appender(
            log=log,
            name=name,
            codec=codec,
            producer=producer,
            on_failure=self.outage.note_failure,
        )
        self._store = CheckpointStore(log=log, stream=name)
        self._publisher = CheckpointPublisher(
            store=self._store,
            follower=producer,
            position=self._caught_up_position,
            checkpoint=self.state.checkpoint,
        )
        self._listeners: list[Callable[[], None]] = []

    @property
    def position(self) -> int:
        """Return the offset of the next entry to read."""
        return self.state.position

    @property
    def log_failing(self) -> bool:
        """Return whether the last call to the log failed."""
        return self.outage.is_on

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each page of entries was applied."""
        self._listeners.append(listener)

    def on_record(
        self,
        listener: Callable[[RecordT, VerdictT], None],
    ) -> None:
        """Call ``listener`` with each record that was applied.

        Records that a restored checkpoint covers are not reported.
        """
        self.state.on_record(listener)

    async def submit(self, *records: RecordT) -> tuple[VerdictT, ...]:
        """Append records and return their verdicts once read back.

        Cancelling the call does not withdraw the records.

        :raises FailureError: if the records took effect in entries that the
            log dropped before this process read them
        """
        return await self.appender.submit(records)

    async def run(self) -> None:
        """Read, append and publish checkpoints until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_forever())
            group.create_task(self.appender.run())
            group.create_task(self._publisher.run())

    async def _read_forever(self) -> None:
        is_started = False
        while True:
            try:
                if not is_started:
                    await self._restore(oldest=0)
                    is_started = True
                await self._read_page()
            except FailureError:
                self.outage.note_failure()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _restore(self, *, oldest: int) -> None:
        checkpoint = await self._store.load(oldest=oldest)
        if checkpoint is None or checkpoint.position <= self.position:
            return
        self.state.restore(checkpoint)
        self.appender.fail_skipped(self.state.marks)
        self._notify()

    async def _read_page(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        page = await self._log.read(
            self.name,
            start=self.position,
            wait_s=READ_WAIT_S if self.caught_up.is_set() else 0,
        )
        self.outage.note_success()
        if self.position < page.oldest:
            await self._skip_gap(page.oldest)
            return
        for entry in page.entries:
            self._apply(entry)
        self.last_answer_at = asyncio.get_running_loop().time()
        if self.position >= page.end:
            self.caught_up.set()
            self.current_at = asked_at
        if page.entries:
            self._notify()

    async def _skip_gap(self, oldest: int) -> None:
        self.caught_up.clear()
        await self._restore(oldest=oldest)
        if self.position < oldest:
            await asyncio.sleep(RETRY_DELAY_S)

    def _apply(self, entry: Entry) -> None:
        for applied in self.state.apply(entry):
            self.appender.read_back(applied.envelope, applied.verdicts)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _caught_up_position(self) -> int | None:
        return self.position if self.caught_up.is_set() else None

"""The runs of an executor: their states, and their answers up to a limit."""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

import msgspec
import xxhash
from transitions import Machine

from dandelioncleat.core.failure import Failure
from dandelioncleat.core.identity import RunId, request_key_of
from dandelioncleat.core.message import Chunk, Dispatch, Finished
from dandelioncleat.core.response_buffer import ResponseBuffer
from dandelioncleat.core.slot import key_bytes

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ENDED_RUNS = 8000
MAX_TOMBSTONES = 50_000


class RunState(StrEnum):
    """The states of a run; the last four are final."""

    DISPATCHED = 'dispatched'
    RUNNING = 'running'
    FINISHED = 'finished'
    CUT = 'cut'
    CANCELLED = 'cancelled'
    SEALED = 'sealed'


OPEN_STATES = (RunState.DISPATCHED, RunState.RUNNING)
UNSEEN_STATES = (RunState.DISPATCHED, RunState.SEALED)

_MACHINE = Machine(
    model=None,
    states=list(RunState),
    initial=RunState.DISPATCHED,
    auto_transitions=False,
    transitions=[
        ['start', RunState.DISPATCHED, RunState.RUNNING],
        ['finish', RunState.RUNNING, RunState.FINISHED],
        ['cut', RunState.RUNNING, RunState.CUT],
        ['cancel', RunState.RUNNING, RunState.CANCELLED],
        ['seal', list(OPEN_STATES), RunState.SEALED],
    ],
)


class Ending(NamedTuple):
    """How a run ended; ``status`` 0 means that no status is known."""

    status: int
    content_type: str
    prompt_tokens: int
    output_tokens: int
    tokens: int
    reason: str


class Run:
    """One run of a request, with its answer so far."""

    def __init__(self, dispatch: Dispatch) -> None:
        """Create a run in state ``dispatched``."""
        self.dispatch = dispatch
        self.state: RunState = RunState.DISPATCHED
        self.answer = ResponseBuffer()
        self.ending: Ending | None = None
        self.seal_reason: Failure | None = None

    @property
    def id(self) -> RunId:
        """Return the id of the run."""
        return self.dispatch.run

    @property
    def is_open(self) -> bool:
        """Return whether the run has not ended."""
        return self.state in OPEN_STATES

    @property
    def began(self) -> bool:
        """Return whether the target may have seen the request."""
        return self.state not in UNSEEN_STATES

    def start(self) -> None:
        """Mark the request as sent to the target."""
        self._transition('start')

    def finish(self, ending: Ending) -> None:
        """Mark the answer as complete."""
        self._transition('finish')
        self.ending = ending

    def cut(self, ending: Ending) -> None:
        """Mark the answer as ended before it was complete."""
        self._transition('cut')
        self.ending = ending

    def cancel(self, ending: Ending) -> None:
        """Mark the run as stopped on demand."""
        self._transition('cancel')
        self.ending = ending

    def seal(self, failure: Failure) -> None:
        """Mark the request as never to be sent, and keep the reason."""
        self._transition('seal')
        self.seal_reason = failure

    def chunk(self, start: int) -> Chunk | None:
        """Return the answer from a byte on, ``None`` if there is no more."""
        part = self.answer.part(start)
        if part is None:
            return None
        return Chunk(self.id, start, part.data, part.tokens)

    def finished(self) -> Finished | None:
        """Return the message that ends the answer, if it has ended."""
        ending = self.ending
        if ending is None:
            return None
        return Finished(
            run=self.id,
            status=ending.status,
            content_type=ending.content_type,
            size=self.answer.size,
            prompt_tokens=ending.prompt_tokens,
            output_tokens=ending.output_tokens,
            tokens=ending.tokens,
            reason=ending.reason,
            complete=self.state is RunState.FINISHED,
        )

    def forget_body(self) -> None:
        """Free the memory of the request's body."""
        self.dispatch = msgspec.structs.replace(self.dispatch, body=b'')

    def _transition(self, trigger: str) -> None:
        _MACHINE.events[trigger].trigger(self)


class Tombstone(NamedTuple):
    """What is kept of a run without its details."""

    began: bool


class Runs:
    """Remembers open runs, and ended ones within limits.

    Answers of ended runs are kept up to a total size. Beyond the limit of
    ended runs only tombstones are kept, which have a limit of their own.
    ``remembers_all_begun`` turns false when the first tombstone of a run
    that began is dropped.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_ended: int = MAX_ENDED_RUNS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        """Set the limits for ended runs: answer bytes, runs and tombstones."""
        self.open_by_id: dict[RunId, Run] = {}
        self.remembers_all_begun = True
        self._ended_by_id: OrderedDict[RunId, Run] = OrderedDict()
        self._begun: OrderedDict[int, None] = OrderedDict()
        self._sealed: OrderedDict[int, None] = OrderedDict()
        self._with_answer_by_id: OrderedDict[RunId, Run] = OrderedDict()
        self._answer_bytes = 0
        self._max_answer_bytes = max_answer_bytes
        self._max_ended = max_ended
        self._max_tombstones = max_tombstones

    @property
    def running(self) -> int:
        """Return the number of runs at the target."""
        return sum(run.began for run in self.open_by_id.values())

    def add(self, run: Run) -> None:
        """Remember a run that was dispatched."""
        self.open_by_id[run.id] = run

    def get(self, run: RunId) -> Run | Tombstone | None:
        """Return a run that is open or remembered, or its tombstone."""
        known = self.open_by_id.get(run) or self._ended_by_id.get(run)
        if known is not None:
            return known
        hashed = _hash_of(run)
        if hashed in self._begun:
            return Tombstone(began=True)
        return Tombstone(began=False) if hashed in self._sealed else None

    def mark_sealed(self, run: RunId) -> None:
        """Remember that an unknown run must not begin."""
        self._sealed[_hash_of(run)] = None
        if len(self._sealed) > self._max_tombstones:
            self._sealed.popitem(last=False)

    def end(self, run: Run) -> None:
        """Move an ended run to the bounded memory."""
        run.forget_body()
        self.open_by_id.pop(run.id, None)
        self._ended_by_id[run.id] = run
        self._with_answer_by_id[run.id] = run
        self._answer_bytes += run.answer.size
        self._enforce_limits()

    def _enforce_limits(self) -> None:
        while len(self._ended_by_id) > self._max_ended:
            run_id, ended = self._ended_by_id.popitem(last=False)
            self._forget_answer(run_id)
            if ended.began:
                self._mark_begun(run_id)
            else:
                self.mark_sealed(run_id)
        while self._answer_bytes > self._max_answer_bytes:
            self._forget_answer(next(iter(self._with_answer_by_id)))

    def _forget_answer(self, run_id: RunId) -> None:
        run = self._with_answer_by_id.pop(run_id, None)
        if run is not None:
            self._answer_bytes -= run.answer.size
            run.answer.discard()

    def _mark_begun(self, run_id: RunId) -> None:
        self._begun[_hash_of(run_id)] = None
        if len(self._begun) > self._max_tombstones:
            self._begun.popitem(last=False)
            self.remembers_all_begun = False


def _hash_of(run: RunId) -> int:
    request = key_bytes(request_key_of(run))
    suffix = f'{run.home}#{run.attempt}'.encode()
    return xxhash.xxh3_64_intdigest(b'\0'.join((suffix, request)))

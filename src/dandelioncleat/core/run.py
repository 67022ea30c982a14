"""The runs of an executor: their states and their bounded answers."""

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
MAX_TRACES = 50_000


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
        """Take the order to run."""
        self.dispatch = dispatch
        self.state: RunState = RunState.DISPATCHED
        self.answer = ResponseBuffer()
        self.ending: Ending | None = None
        self.sealed_for: Failure | None = None

    @property
    def id(self) -> RunId:
        """Return the run's name."""
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
        """Note that the request goes to the target."""
        self._change('start')

    def finish(self, ending: Ending) -> None:
        """Note that the answer is whole."""
        self._change('finish')
        self.ending = ending

    def cut(self, ending: Ending) -> None:
        """Note that the target stopped before the answer was whole."""
        self._change('cut')
        self.ending = ending

    def cancel(self, ending: Ending) -> None:
        """Note that the run was stopped on demand."""
        self._change('cancel')
        self.ending = ending

    def seal(self, failure: Failure) -> None:
        """Note that the request never will reach the target, and why."""
        self._change('seal')
        self.sealed_for = failure

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

    def _change(self, trigger: str) -> None:
        _MACHINE.events[trigger].trigger(self)


class Trace(NamedTuple):
    """What is left of a run whose details were forgotten."""

    began: bool


class Runs:
    """Remembers runs; the answers of ended ones within a bound of bytes.

    Of ended runs past the bound only a trace is kept. Past the bound of
    traces nothing is left of a run; ``complete`` is false from the first
    run on that began and was forgotten so.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_ended: int = MAX_ENDED_RUNS,
        max_traces: int = MAX_TRACES,
    ) -> None:
        """Take the bounds of ended runs: bytes of answers, and their number."""
        self.open_by_id: dict[RunId, Run] = {}
        self.complete = True
        self._ended_by_id: OrderedDict[RunId, Run] = OrderedDict()
        self._begun: OrderedDict[int, None] = OrderedDict()
        self._sealed: OrderedDict[int, None] = OrderedDict()
        self._kept: OrderedDict[RunId, Run] = OrderedDict()
        self._kept_bytes = 0
        self._max_answer_bytes = max_answer_bytes
        self._max_ended = max_ended
        self._max_traces = max_traces

    @property
    def running(self) -> int:
        """Return the number of runs at the target."""
        return sum(run.began for run in self.open_by_id.values())

    def add(self, run: Run) -> None:
        """Remember a run that was dispatched."""
        self.open_by_id[run.id] = run

    def get(self, run: RunId) -> Run | Trace | None:
        """Return a run that is open or remembered, or its trace."""
        known = self.open_by_id.get(run) or self._ended_by_id.get(run)
        if known is not None:
            return known
        hashed = _hash_of(run)
        if hashed in self._begun:
            return Trace(began=True)
        return Trace(began=False) if hashed in self._sealed else None

    def mark_sealed(self, run: RunId) -> None:
        """Remember that a run that is not known will not begin."""
        self._sealed[_hash_of(run)] = None
        if len(self._sealed) > self._max_traces:
            self._sealed.popitem(last=False)

    def end(self, run: Run) -> None:
        """Move a run that has ended to the bounded memory."""
        run.forget_body()
        self.open_by_id.pop(run.id, None)
        self._ended_by_id[run.id] = run
        self._kept[run.id] = run
        self._kept_bytes += run.answer.size
        self._shrink()

    def _shrink(self) -> None:
        while len(self._ended_by_id) > self._max_ended:
            run_id, ended = self._ended_by_id.popitem(last=False)
            self._forget_answer(run_id)
            if ended.began:
                self._mark_begun(run_id)
            else:
                self.mark_sealed(run_id)
        while self._kept_bytes > self._max_answer_bytes:
            self._forget_answer(next(iter(self._kept)))

    def _forget_answer(self, run_id: RunId) -> None:
        run = self._kept.pop(run_id, None)
        if run is not None:
            self._kept_bytes -= run.answer.size
            run.answer.discard()

    def _mark_begun(self, run_id: RunId) -> None:
        self._begun[_hash_of(run_id)] = None
        if len(self._begun) > self._max_traces:
            self._begun.popitem(last=False)
            self.complete = False


def _hash_of(run: RunId) -> int:
    request = key_bytes(request_key_of(run))
    suffix = f'{run.home}#{run.attempt}'.encode()
    return xxhash.xxh3_64_intdigest(b'\0'.join((suffix, request)))

"""Clients of stand-in targets that run in the same process."""

from collections.abc import AsyncIterator

import msgspec

from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.identity import RunId
from dandelioncleat.ports.target import (
    CacheEvents,
    Ended,
    Piece,
    TargetCall,
    TargetEvent,
    TargetLoad,
)
from dandelioncleat.standin.engine import Engine, EngineRequest
from dandelioncleat.standin.engine_run import EngineRun, RunEnd, TokenRange
from dandelioncleat.standin.prompt import answer_text, new_prompt
from dandelioncleat.standin.refusal import (
    CrashedError,
    DownError,
    FencedError,
    StandinError,
    TooLargeError,
)
from dandelioncleat.standin.service import PlainService, ServiceCall

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'
OK = 200
BAD_REQUEST = 400
TOO_LARGE = 413
UNCOUNTED: int | None = None


class MemoryModelTarget:
    """Implements ``TargetClient`` over an engine in the same process."""

    def __init__(self, engine: Engine, *, name: str = 'engine') -> None:
        """Take the engine and its name in error messages."""
        self.engine = engine
        self._name = name

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer, ``Ended`` last."""
        try:
            opened = self._open(call)
        except (msgspec.MsgspecError, TooLargeError) as error:
            yield Piece(_error_body(error), 0)
            yield Ended(_status(error), JSON_TYPE, 0, 0, 'error')
            opened = None
        if opened is not None:
            async for event in self._follow(opened):
                yield event

    async def cancel(self, run: RunId) -> Ended | None:
        """Cancel a run and return its final counts."""
        if self.engine.down:
            raise _failure(DownError(), self._name)
        return final_counts(self.engine.cancel(run))

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Count a prompt's tokens; ``None`` for a body without a prompt."""
        if self.engine.down:
            return None
        try:
            return new_prompt(call.body).tokens
        except msgspec.MsgspecError:
            return None

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        if self.engine.down:
            raise _failure(DownError(), self._name)
        return self.engine.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return the cache events from a position on."""
        if self.engine.down:
            raise _failure(DownError(), self._name)
        return self.engine.cache_feed.read(start)

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        if self.engine.down:
            raise _failure(DownError(), self._name)
        try:
            return self.engine.fence(number)
        except FencedError as error:
            raise _failure(error, self._name) from error

    async def _follow(self, run: EngineRun) -> AsyncIterator[TargetEvent]:
        try:
            async for event in self.engine.events(run):
                yield _target_event(run, event)
        except CrashedError as error:
            raise _failure(error, self._name) from error

    def _open(self, call: TargetCall) -> EngineRun:
        request = EngineRequest(
            run=call.run,
            prompt=new_prompt(call.body),
            cap=call.cap,
            priority=call.priority,
            fence=call.fence,
        )
        try:
            return self.engine.open(request)
        except (DownError, FencedError) as error:
            raise _failure(error, self._name) from error


class MemoryPlainTarget:
    """Implements ``TargetClient`` over a service in the same process."""

    def __init__(
        self,
        service: PlainService,
        *,
        name: str = 'service',
    ) -> None:
        """Take the service and its name in error messages."""
        self.service = service
        self._name = name

    async def run(self, call: TargetCall) -> AsyncIterator[TargetEvent]:
        """Run a request and yield its answer, ``Ended`` last."""
        try:
            answer = await self.service.call(
                ServiceCall(
                    call.run, call.method, call.path, call.body, call.fence
                )
            )
        except StandinError as error:
            raise _failure(error, self._name) from error
        yield Piece(answer.body, 0)
        yield Ended(answer.status, JSON_TYPE, 0, 0, 'stop')

    async def cancel(self, run: RunId) -> Ended | None:
        """Return ``None``; a call that has begun runs to its end."""

    async def count_tokens(self, call: TargetCall) -> int | None:
        """Return ``None``; a plain service has no tokens."""
        return UNCOUNTED

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        if self.service.down:
            raise _failure(DownError(), self._name)
        return self.service.load()

    async def cache_events(self, start: int) -> CacheEvents:
        """Return no events."""
        return CacheEvents(start, gap=False, stored=(), evicted=())

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        if self.service.down:
            raise _failure(DownError(), self._name)
        try:
            return self.service.fence(number)
        except FencedError as error:
            raise _failure(error, self._name) from error


def final_counts(run: EngineRun | None) -> Ended | None:
    """Return the final counts of a run; ``None`` if unknown or lost."""
    if run is None or run.reason == 'crash':
        return None
    return Ended(
        OK, TEXT_TYPE, run.prompt_tokens, run.output_tokens, run.reason
    )


def _target_event(
    run: EngineRun,
    event: TokenRange | RunEnd,
) -> TargetEvent:
    match event:
        case TokenRange(start, end):
            text = answer_text(run.prompt, start, end)
            return Piece(text.encode(), end - start)
        case RunEnd(prompt_tokens, output_tokens, reason):
            return Ended(OK, TEXT_TYPE, prompt_tokens, output_tokens, reason)


def _failure(error: StandinError, peer: str) -> FailureError:
    code = Code.TARGET
    step = 'read'
    if isinstance(error, DownError):
        step = 'connect'
    elif isinstance(error, FencedError):
        code = Code.FENCED
        step = 'run'
    text = str(error) or 'the target has crashed or is down'
    return failure_error(code, step=step, peer=peer, text=text)


def _error_body(error: Exception) -> bytes:
    return msgspec.json.encode({'error': {'message': str(error)}})


def _status(error: Exception) -> int:
    return TOO_LARGE if isinstance(error, TooLargeError) else BAD_REQUEST

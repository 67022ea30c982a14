"""Messages between processes; each answers a call or is part of a stream."""

from typing import NamedTuple

from msgspec import Struct

from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Draw,
    Incarnation,
    RequestKey,
    RunId,
)


class Message(Struct, frozen=True):
    """Base class of all messages."""


class Attach(Message, frozen=True):
    """Asks the home of a key to begin a run on ``executor`` or find one.

    An empty ``executor`` only asks for a run that exists; the home refuses
    with code ``not_found`` if there is none.
    ``age_ms`` is the time since the request arrived at the asking router.
    """

    request: RequestKey
    service: str
    body: Digest
    idempotent: bool
    executor: Incarnation
    age_ms: int = 0


class Begin(Message, frozen=True):
    """Permits the asking router to dispatch this run to its executor."""

    run: RunId
    executor: Incarnation


class Placed(Message, frozen=True):
    """Names the run that serves the key already, and its executor."""

    run: RunId
    executor: Incarnation


class NotHome(Message, frozen=True):
    """Names the sidecar that owns the key's slot instead; may be empty."""

    owner: Incarnation


class Refusal(Message, frozen=True):
    """Declines a message; the work it asked for did not and will not run.

    ``ran`` is true if it may have run after all.
    """

    code: Code
    step: str
    peer: str
    text: str
    retry_after_ms: int = 0
    ran: bool = False


class Accepted(Message, frozen=True):
    """Confirms a message that has no other answer."""


class Dispatch(Message, frozen=True):
    """Orders an executor to run a request within the tokens of its draws.

    ``cap`` bounds the generated tokens, ``deadline_ms`` is the time left.
    ``prompt_bound`` is an upper bound of the prompt's tokens, or the price
    of a plain service's call.
    """

    run: RunId
    executor: Incarnation
    router: Incarnation
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    digest: Digest
    idempotent: bool
    budget: BudgetId
    draws: tuple[Draw, ...]
    prompt_bound: int
    cap: int
    priority: int
    deadline_ms: int


class Resume(Message, frozen=True):
    """Asks an executor for a run's answer from byte ``start`` on."""

    run: RunId
    executor: Incarnation
    start: int


class Chunk(Message, frozen=True):
    """Carries the next part of an answer, which begins at byte ``start``."""

    run: RunId
    start: int
    data: bytes
    tokens: int


class Finished(Message, frozen=True):
    """Ends an answer of ``size`` bytes; ``tokens`` is what is billed.

    ``complete`` is false for a run that was cut or cancelled.
    """

    run: RunId
    status: int
    content_type: str
    size: int
    prompt_tokens: int
    output_tokens: int
    tokens: int
    reason: str
    complete: bool


class SealRun(Message, frozen=True):
    """Asks an executor never to run this run."""

    run: RunId
    executor: Incarnation


class Sealed(Message, frozen=True):
    """States whether the run had begun when the executor sealed it."""

    run: RunId
    ran: bool


class Cancel(Message, frozen=True):
    """Stops a run whose caller disconnected; consumed tokens are billed."""

    run: RunId


class Report(Message, frozen=True):
    """Tells a home how a run ended; ``ran`` is false for a sealed one."""

    run: RunId
    status: int
    ran: bool


class NoteGuard(Message, frozen=True):
    """Tells a sidecar that an owner will run requests without a claim.

    ``seen`` is the newest log time that the owner has read. A sidecar that
    accepted this must not declare that the owner left no unrecorded runs,
    until the log shows that the owner has read on.
    """

    owner: Incarnation
    seen: float


class AskTokenCount(Message, frozen=True):
    """Asks a sidecar for a prompt's tokens, as counted by its target."""

    path: str
    content_type: str
    body: bytes


class TokenCount(Message, frozen=True):
    """States the number of tokens of a prompt."""

    tokens: int


class WatchLoad(Message, frozen=True):
    """Asks a sidecar for its target's load, now and at each change."""


class Load(Message, frozen=True):
    """Describes a target's load; ``age_ms`` is the age of the engine's report.

    ``demand_tokens`` are the KV tokens of running and queued requests.
    ``prefixes`` are digests of cached prompt prefixes, newest last. A whole
    report has all of them; any other has those added and ``evicted`` since
    the last report of the same watch.
    """

    target: str
    sidecar: Incarnation
    leaving: bool
    slots: int
    running: int
    queued: int
    demand_tokens: int
    kv_tokens: int
    age_ms: int
    prefixes: tuple[Digest, ...]
    evicted: tuple[Digest, ...] = ()
    is_whole: bool = True


class AskPart(Message, frozen=True):
    """Asks another router for spare tokens of its grants of a budget."""

    budget: BudgetId
    tokens: int
    holder: Incarnation


class Part(Message, frozen=True):
    """Transfers spare tokens; the sender has already deducted them."""

    budget: BudgetId
    draws: tuple[Draw, ...]


class AppendEnvelope(Message, frozen=True):
    """Asks a router to append an entry of bills for its producer."""

    stream: str
    data: bytes


class AskEntries(Message, frozen=True):
    """Asks a process that reads a stream for the entries from ``start`` on.

    It waits up to ``wait_ms`` for one if there are none.
    """

    stream: str
    start: int
    limit: int
    wait_ms: int


class StreamEntry(NamedTuple):
    """One entry of a stream, as the log holds it."""

    offset: int
    appended_at: float
    data: bytes


class StreamEntries(Message, frozen=True):
    """Carries entries in order; ``end`` is the offset of the next one."""

    end: int
    entries: tuple[StreamEntry, ...]


class AskStatus(Message, frozen=True):
    """Asks a process for its state and its configuration version."""


class Status(Message, frozen=True):
    """Describes a process; ``details`` is a JSON object for display."""

    incarnation: Incarnation
    role: str
    state: str
    version: int
    digest: Digest
    details: bytes


def refusal(failure: Failure, *, ran: bool = False) -> Refusal:
    """Return the refusal that reports a failure to a peer."""
    return Refusal(
        failure.code,
        failure.step,
        failure.peer,
        failure.text,
        ran=ran,
    )

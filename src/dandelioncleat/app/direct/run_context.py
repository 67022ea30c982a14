"""The state of one request from its admission to its end."""

import asyncio
from typing import NamedTuple

from dandelioncleat.app.direct.admission import Admitted
from dandelioncleat.app.direct.taken_retry import TakenRetry
from dandelioncleat.core.deployment import CallKind, TargetEntry
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRequest,
    RefusalReason,
    ResponseHead,
)
from dandelioncleat.core.event_stream import EventStreamParser
from dandelioncleat.core.held_bytes import (
    DEFAULT_MEMORY_MB,
    HeldAnswers,
    HeldBytes,
)
from dandelioncleat.core.stream_origin import StreamOrigin, stream_key
from dandelioncleat.ports.answer_watch import AnswerWatch

DEFAULT_WAIT_S = 30.0
# An answer is sent this much before its caller stops waiting for it, or a tenth
# of that time before if that is less.
ANSWER_MARGIN_S = 0.05
ANSWER_MARGIN_SHARE = 0.1
# Outcome of a request whose task was cancelled, as its caller disconnected.
CALLER_LEFT = 'caller left'


class PrefixFetch(NamedTuple):
    """What a target fetches of a prompt from another one at ``address``.

    ``saved_tokens`` is the work that it spares the target.
    """

    address: str
    saved_tokens: int


class RunContext:
    """Keeps the deadlines, the tried targets and the delivered output.

    ``answer_by`` is when the answer must have begun, ``deadline`` when the
    caller stops waiting; both are event loop times in seconds. Without an
    answer of a target until then the caller still gets one of the router.
    ``sent_at`` is when the last attempt was sent, an event loop time;
    ``sent_to`` has the targets of all attempts, ``tried_targets`` those that
    may have run it.
    ``may_have_run`` says that any attempt may have run, here or where the
    request was forwarded, ``earlier_may_have_run`` that one before the last
    may have.
    ``sent_head`` is the head of the answer that the caller was sent,
    ``has_output`` says that a part of its body was sent, too.
    ``answer_head`` is the head of the last answer, ``None`` if there was none,
    ``has_whole_answer`` says that its whole body was read before it is sent;
    ``has_lost_answer`` says that a target's answer was lost. ``origin`` is
    where the caller's stream began, ``None`` before its first event.
    ``arrivals`` counts how often routers have sent the request to targets;
    ``is_counted`` says that one has counted it in its retry budget. ``retry``
    is a retry that was taken from that and not sent yet. ``held`` is what the
    process keeps of answers. ``prefix_fetch`` is what the chosen target
    fetches of the prompt. ``answer_watch`` tells how the last target ended a
    request that was given up.
    """

    def __init__(
        self,
        request: DirectRequest,
        admitted: Admitted,
        *,
        arrived_at: float | None = None,
        held: HeldAnswers | None = None,
    ) -> None:
        """Initialise the deadlines of a request.

        :param arrived_at: when it arrived, an event loop time in seconds; now
            by default
        :param held: bounds the bodies of answers
        """
        self.request = request
        self.admitted = admitted
        self.started_at = _now() if arrived_at is None else arrived_at
        wait_s = DEFAULT_WAIT_S if request.wait_s is None else request.wait_s
        self.deadline = self.started_at + wait_s
        margin_s = min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * wait_s)
        self.answer_by = self.started_at + min(
            wait_s - margin_s, admitted.route.timeout_s
        )
        self.stream = EventStreamParser()
        self.origin: StreamOrigin | None = None
        self.sent_head: ResponseHead | None = None
        self.has_output = False
        self.answer_head: ResponseHead | None = None
        self.has_whole_answer = False
        self.has_lost_answer = False
        self.tried_targets: set[str] = set()
        self.sent_to: set[str] = set()
        self.attempts_sent = 0
        self.sent_at = float('-inf')
        self.may_have_run = False
        self.failed_answer: CompleteResponse | None = None
        self.outcome = CALLER_LEFT
        self.refusal: RefusalReason | None = None
        self.used_tokens = 0
        self.earlier_may_have_run = False
        self.arrivals = request.earlier_arrivals or 0
        self.is_counted = request.earlier_arrivals is not None
        self.retry: TakenRetry | None = None
        self.prefix_fetch: PrefixFetch | None = None
        self.answer_watch = AnswerWatch()
        self.held = held or HeldAnswers(HeldBytes(DEFAULT_MEMORY_MB))

    def stream_key(self, first_request: str) -> str:
        """Return the key of the stream that a request of the caller began."""
        organisation = self.admitted.organisation
        name = None if organisation is None else organisation.name
        return stream_key(name, first_request)

    @property
    def has_sent_head(self) -> bool:
        """Return whether the head of an answer was sent to the caller."""
        return self.sent_head is not None

    @property
    def is_close_delimited(self) -> bool | None:
        """Return how the last answer was framed, ``None`` without one."""
        head = self.answer_head
        return None if head is None else head.is_close_delimited

    @property
    def remaining_s(self) -> float:
        """Return the time left for an answer to begin, in seconds."""
        return self.answer_by - _now()

    @property
    def ends_by(self) -> float:
        """Return when the answer ends at the latest, an event loop time.

        A stream that has begun in time may go on as long as its caller waits.
        """
        if self.admitted.route.kind is CallKind.STREAM:
            return self.deadline
        return self.answer_by

    @property
    def elapsed_s(self) -> float:
        """Return the time since the request arrived, in seconds."""
        return _now() - self.started_at

    @property
    def may_send_again(self) -> bool:
        """Return whether the route and the deadline allow another attempt."""
        route = self.admitted.route
        if self.may_have_run and not route.is_repeatable:
            return False
        if self.sent_head is not None and self.sent_head.is_error:
            # The text of an error is no stream that could be resumed.
            return False
        return (
            self.attempts_sent < max(2, route.attempts) and self.remaining_s > 0
        )

    def fits(self, entry: TargetEntry) -> bool:
        """Return whether the caller's stream may be resumed at a target."""
        return self.origin is None or self.origin.fits(entry)

    def begin_attempt(self, target: str) -> None:
        """Note that the request is about to be sent to a target."""
        self.sent_to.add(target)
        self.attempts_sent += 1
        self.arrivals += 1
        self.sent_at = _now()
        self.answer_head = None
        self.has_whole_answer = False
        self.stream.unfinished_bytes = 0
        self.earlier_may_have_run = self.may_have_run
        self.may_have_run = True

    def note_not_run(self) -> None:
        """Note that the last attempt certainly did not run."""
        self.may_have_run = self.earlier_may_have_run

    def note_unsent(self) -> None:
        """Note that the last attempt did not reach its target."""
        self.arrivals -= 1
        self.note_not_run()

    @property
    def has_runs_left(self) -> bool:
        """Return whether one more target may run the request."""
        return len(self.tried_targets) < self.admitted.route.attempts

    @property
    def resume_after(self) -> str | None:
        """Return the id of the event after which a stream resumes."""
        return self.stream.last_id or self.request.resume_after


def _now() -> float:
    return asyncio.get_running_loop().time()

"""What one request carries from its admission to its end."""

import asyncio

from dandelioncleat.app.direct.admission import Admitted
from dandelioncleat.core.direct_request import (
    CompleteResponse,
    DirectRequest,
    RefusalReason,
)
from dandelioncleat.core.event_stream import EventStreamParser

DEFAULT_WAIT_S = 30.0
# A request that is ended by cancelling its task.
CALLER_LEFT = 'caller left'


class RunContext:
    """Keeps the deadline, the targets that were tried and the delivered.

    ``answer_by`` is when the answer must have begun, ``deadline`` when the
    caller leaves; both are times of the event loop in seconds. ``had_run``
    says that an attempt before the last may have run. ``has_begun`` says
    that the head of an answer was passed on, ``has_output`` that more was.
    """

    def __init__(self, request: DirectRequest, admitted: Admitted) -> None:
        """Start the time of a request that has just arrived."""
        self.request = request
        self.admitted = admitted
        self.started = _now()
        wait_s = request.wait_s or DEFAULT_WAIT_S
        self.deadline = self.started + wait_s
        self.answer_by = self.started + min(wait_s, admitted.route.timeout_s)
        self.events = EventStreamParser()
        self.has_begun = False
        self.has_output = False
        self.tried: set[str] = set()
        self.sent = 0
        self.may_have_run = False
        self.failed_answer: CompleteResponse | None = None
        self.outcome = CALLER_LEFT
        self.refusal: RefusalReason | None = None
        self.used_tokens = 0
        self.had_run = False

    @property
    def left_s(self) -> float:
        """Return the time that is left for an answer to begin."""
        return self.answer_by - _now()

    @property
    def passed_s(self) -> float:
        """Return the time since the request arrived."""
        return _now() - self.started

    @property
    def may_send_again(self) -> bool:
        """Return whether another target may be tried at all."""
        route = self.admitted.route
        if self.may_have_run and not route.is_repeatable:
            return False
        return self.sent < max(2, route.attempts) and self.left_s > 0

    def begin_attempt(self) -> None:
        """Note that the request is about to be sent to a target."""
        self.sent += 1
        self.had_run = self.may_have_run
        self.may_have_run = True

    def note_not_run(self) -> None:
        """Note that the last attempt is known not to run."""
        self.may_have_run = self.had_run

    @property
    def has_runs_left(self) -> bool:
        """Return whether one more target may run the request."""
        return len(self.tried) < self.admitted.route.attempts

    @property
    def resume_after(self) -> str | None:
        """Return the event after which a stream goes on."""
        return self.events.last_id or self.request.resume_after


def _now() -> float:
    return asyncio.get_running_loop().time()

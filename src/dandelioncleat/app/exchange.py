"""The state of one request on its way through a router."""

from typing import NamedTuple

from transitions import Machine

from dandelioncleat.app.placement_queue import Place
from dandelioncleat.core.failure import Failure
from dandelioncleat.core.identity import BudgetId, Draw, Incarnation, RunId
from dandelioncleat.core.request import (
    AnswerEnd,
    CallerRequest,
    RequestOutcome,
)

STATES = ('arrived', 'reserved', 'placed', 'running', 'ended')
TRANSITIONS = (
    ('reserve', 'arrived', 'reserved'),
    ('place', 'reserved', 'placed'),
    ('order', 'placed', 'running'),
    ('follow', ('arrived', 'reserved', 'placed'), 'running'),
    ('start_again', ('arrived', 'reserved', 'placed', 'running'), 'arrived'),
    ('end', ('arrived', 'reserved', 'placed', 'running'), 'ended'),
)


class Stage:
    """How far a request has come; the state machine adds its triggers."""

    state: str

    def __init__(self) -> None:
        """Start as arrived."""
        _MACHINE.add_model(self)


class Permit(NamedTuple):
    """A run that a home permits or knows, and its executor."""

    run: RunId
    executor: Incarnation
    is_new: bool


class Holding(NamedTuple):
    """A run that was sent and the draws that its end settles.

    ``delivered`` is the number of bytes of its answer that were read.
    """

    permit: Permit
    budget: BudgetId
    draws: tuple[Draw, ...]
    delivered: int
    is_cancelled: bool


class Exchange:
    """What a request holds, what was sent for it and what is known of it.

    ``is_vouched`` says that no earlier run of the request exists: its key
    is fresh or its home said so. ``may_run`` says that a run was sent whose
    end is not known.
    """

    def __init__(
        self,
        request: CallerRequest,
        *,
        arrived_at: float,
        traceparent: str,
    ) -> None:
        """Take an arrived request.

        :param arrived_at: time of the event loop in seconds
        """
        self.request = request
        self.arrived_at = arrived_at
        self.deadline = arrived_at + request.deadline_s
        self.first_at: float | None = None
        self.traceparent = traceparent
        self.stage = Stage()
        self.attempts = 0
        self.draws: tuple[Draw, ...] = ()
        self.place: Place | None = None
        self.permit: Permit | None = None
        self.excluded: tuple[Incarnation, ...] = ()
        self.delivered = 0
        self.target = ''
        self.is_vouched = request.has_generated_key
        self.may_run = False
        self.lost_runs = 0
        self.end_event: AnswerEnd | None = None

    def move(self, trigger: str) -> None:
        """Take a transition; a wrong one is a defect and raises."""
        _MACHINE.events[trigger].trigger(self.stage)

    @property
    def sent_permit(self) -> Permit:
        """Return the run that is being read; there must be one."""
        if self.permit is None:
            raise RuntimeError('the request has no run')
        return self.permit

    @property
    def can_rerun(self) -> bool:
        """Return whether another run may serve the request as well."""
        return self.request.idempotent and self.delivered == 0

    def refuse(
        self,
        failure: Failure,
        *,
        version: int,
        retry_after_s: float = 0,
    ) -> None:
        """End without an answer, as truthfully as is known."""
        has_open_run = self.may_run or self.lost_runs > 0
        is_sealed = self.is_vouched and not has_open_run
        self.end_event = AnswerEnd(
            RequestOutcome.NOT_RUN if is_sealed else RequestOutcome.UNKNOWN,
            self.request.request,
            version,
            target=self.target,
            failure=failure,
            retry_after_s=retry_after_s,
        )

    def hand_over(self) -> Holding | None:
        """Give up the draws of the run that was sent, if there is one."""
        permit = self.permit
        draws = self.draws
        self.draws = ()
        if permit is None or not permit.is_new or not draws:
            return None
        return Holding(
            permit,
            self.request.budget,
            draws,
            self.delivered,
            is_cancelled=self.request.idempotent,
        )

    def forget_attempt(self) -> None:
        """Prepare for another attempt."""
        self.permit = None
        self.may_run = False
        self.target = ''
        self.move('start_again')

    def close(self) -> None:
        """Let go of the state machine."""
        _MACHINE.remove_model(self.stage)


_MACHINE = Machine(
    model=None,
    states=list(STATES),
    transitions=[list(transition) for transition in TRANSITIONS],
    initial='arrived',
    auto_transitions=False,
)

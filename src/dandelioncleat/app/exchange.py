"""The state of one request while a router serves it."""

from typing import NamedTuple

from transitions import Machine

from dandelioncleat.app.placement_queue import TargetSlot
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
    """A request's position in the state machine, which adds the triggers."""

    state: str

    def __init__(self) -> None:
        """Start in the initial state."""
        _MACHINE.add_model(self)


class Permit(NamedTuple):
    """A run that a home permitted or already knew, and its executor."""

    run: RunId
    executor: Incarnation
    is_new: bool


class UnsettledRun(NamedTuple):
    """A dispatched run and the draws that are settled when it ends.

    ``delivered_bytes`` is how much of its answer was read.
    """

    permit: Permit
    budget: BudgetId
    draws: tuple[Draw, ...]
    delivered_bytes: int
    is_cancelled: bool


class Exchange:
    """The resources, dispatched run and known outcome of a request.

    ``has_no_earlier_run`` is true if the request's key is fresh or its home
    confirmed that it has no other run. ``may_have_run`` is true while the end
    of a dispatched run is unknown.
    """

    def __init__(
        self,
        request: CallerRequest,
        *,
        arrived_at: float,
        traceparent: str,
    ) -> None:
        """Start with an arrived request.

        :param arrived_at: time of the event loop in seconds
        """
        self.request = request
        self.arrived_at = arrived_at
        self.deadline = arrived_at + request.deadline_s
        self.first_piece_at: float | None = None
        self.traceparent = traceparent
        self.stage = Stage()
        self.attempts = 0
        self.draws: tuple[Draw, ...] = ()
        self.place: TargetSlot | None = None
        self.permit: Permit | None = None
        self.excluded_executors: tuple[Incarnation, ...] = ()
        self.delivered_bytes = 0
        self.target = ''
        self.has_no_earlier_run = request.has_generated_key
        self.may_have_run = False
        self.lost_runs = 0
        self.end_event: AnswerEnd | None = None

    def move(self, trigger: str) -> None:
        """Trigger a transition; an invalid one is a bug and raises."""
        _MACHINE.events[trigger].trigger(self.stage)

    @property
    def sent_permit(self) -> Permit:
        """Return the run that is being read.

        :raises RuntimeError: if there is none
        """
        if self.permit is None:
            raise RuntimeError('the request has no run')
        return self.permit

    @property
    def can_rerun(self) -> bool:
        """Return whether another run may safely replace the current one."""
        return self.request.idempotent and self.delivered_bytes == 0

    def refuse(
        self,
        failure: Failure,
        *,
        version: int,
        retry_after_s: float = 0,
    ) -> None:
        """End without an answer; ``NOT_RUN`` only if no run can have begun."""
        has_open_run = self.may_have_run or self.lost_runs > 0
        is_not_run = self.has_no_earlier_run and not has_open_run
        self.end_event = AnswerEnd(
            RequestOutcome.NOT_RUN if is_not_run else RequestOutcome.UNKNOWN,
            self.request.request,
            version,
            target=self.target,
            failure=failure,
            retry_after_s=retry_after_s,
        )

    def take_unsettled_run(self) -> UnsettledRun | None:
        """Return the dispatched run with its draws, and clear the draws."""
        permit = self.permit
        draws = self.draws
        self.draws = ()
        if permit is None or not permit.is_new or not draws:
            return None
        return UnsettledRun(
            permit,
            self.request.budget,
            draws,
            self.delivered_bytes,
            is_cancelled=self.request.idempotent,
        )

    def reset_attempt(self) -> None:
        """Reset the state for another attempt."""
        self.permit = None
        self.may_have_run = False
        self.target = ''
        self.move('start_again')

    def close(self) -> None:
        """Remove the request from the state machine."""
        _MACHINE.remove_model(self.stage)


_MACHINE = Machine(
    model=None,
    states=list(STATES),
    transitions=[list(transition) for transition in TRANSITIONS],
    initial='arrived',
    auto_transitions=False,
)

"""What the parts of an executor share."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import Configuration, Service, Target
from dandelioncleat.core.dispatch_check import DISPATCH_STEP, ExecutorState
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import Refusal
from dandelioncleat.core.record import Bill
from dandelioncleat.core.run import Run
from dandelioncleat.ports.target import TargetClient
from dandelioncleat.ports.telemetry import Telemetry

RETRY_AFTER_MS = 500


class Bills(Protocol):
    """Takes the bills of ended runs."""

    def submit(self, bill: Bill) -> None:
        """Queue a bill."""


class Place(NamedTuple):
    """Where an executor works."""

    incarnation: Incarnation
    target: str
    service: str


class ExecutorParts(NamedTuple):
    """The surroundings of an executor.

    ``closed`` gives the code with which new work is refused, if any;
    ``on_ended`` is told of each run that ended.
    """

    place: Place
    client: TargetClient
    configuration: Callable[[], Configuration]
    fleet: FleetKeeper
    bills: Bills
    telemetry: Telemetry
    closed: Callable[[], Code | None]
    on_ended: Callable[[Run], None]

    def service(self) -> Service | None:
        """Return the target's service as configured."""
        services = self.configuration().services_by_name
        return services.get(self.place.service)

    def slots(self) -> int:
        """Return the number of runs that the target takes at a time."""
        targets = self.configuration().targets_by_name
        target = targets.get(self.place.target)
        return Target('', '', '').slots if target is None else target.slots

    def orders(self, is_poison: Callable[[Digest], bool]) -> ExecutorState:
        """Return what decides whether an order may run."""
        return ExecutorState(
            incarnation=self.place.incarnation,
            service=self.service(),
            refusal_code=self.closed(),
            is_retired=self.fleet.fold.is_retired,
            is_poison=is_poison,
        )

    def failure(self, code: Code, text: str) -> Failure:
        """Return why an order does not run here."""
        return Failure(code, DISPATCH_STEP, self.place.incarnation, text)

    def refuse(self, failure: Failure) -> Refusal:
        """Count and return the refusal of an order."""
        self.telemetry.count('sidecar.refusals', code=failure.code.value)
        retry_after_ms = 0
        if failure.code is Code.CAPACITY:
            retry_after_ms = RETRY_AFTER_MS
        return Refusal(*failure, retry_after_ms=retry_after_ms)

    def unknown_run(self, code: Code, step: str) -> Refusal:
        """Return the refusal for a run of which nothing can be said."""
        peer = self.place.incarnation
        return Refusal(code, step, peer, 'the run is not known here', ran=True)

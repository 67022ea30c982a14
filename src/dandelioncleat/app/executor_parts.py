"""Dependencies shared by the components of an executor."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.configuration import Configuration, Service, Target
from dandelioncleat.core.dispatch_check import DISPATCH_STEP, Orders
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import Refusal
from dandelioncleat.core.record import Bill
from dandelioncleat.core.run import Run
from dandelioncleat.ports.target import TargetClient
from dandelioncleat.ports.telemetry import Telemetry

RETRY_AFTER_MS = 500


class BillQueue(Protocol):
    """Accepts the bills of ended runs."""

    def submit(self, bill: Bill) -> None:
        """Queue a bill."""


class ExecutorIdentity(NamedTuple):
    """The process, target and service of an executor."""

    incarnation: Incarnation
    target: str
    service: str


class ExecutorParts(NamedTuple):
    """The dependencies of an executor.

    ``refusal_code`` returns the code with which new work is refused, ``None``
    if it is accepted; ``on_ended`` is called with each ended run.
    """

    identity: ExecutorIdentity
    client: TargetClient
    configuration: Callable[[], Configuration]
    fleet: FleetKeeper
    bills: BillQueue
    telemetry: Telemetry
    refusal_code: Callable[[], Code | None]
    on_ended: Callable[[Run], None]

    def service(self) -> Service | None:
        """Return the target's service as configured."""
        services = self.configuration().services_by_name
        return services.get(self.identity.service)

    def slots(self) -> int:
        """Return the number of concurrent runs that the target accepts."""
        targets = self.configuration().targets_by_name
        target = targets.get(self.identity.target)
        return Target('', '', '').slots if target is None else target.slots

    def orders(self, is_poison: Callable[[Digest], bool]) -> Orders:
        """Return the facts that decide whether a dispatch may run."""
        return Orders(
            incarnation=self.identity.incarnation,
            service=self.service(),
            closed=self.refusal_code(),
            is_retired=self.fleet.fold.is_retired,
            is_poison=is_poison,
        )

    def failure(self, code: Code, text: str) -> Failure:
        """Return a failure that says why a dispatch does not run here."""
        return Failure(code, DISPATCH_STEP, self.identity.incarnation, text)

    def refuse(self, failure: Failure) -> Refusal:
        """Count and return the refusal of a dispatch."""
        self.telemetry.count('sidecar.refusals', code=failure.code.value)
        retry_after_ms = 0
        if failure.code is Code.CAPACITY:
            retry_after_ms = RETRY_AFTER_MS
        return Refusal(*failure, retry_after_ms=retry_after_ms)

    def unknown_run(self, code: Code, step: str) -> Refusal:
        """Return the refusal for an unknown run, which may have run."""
        peer = self.identity.incarnation
        return Refusal(code, step, peer, 'the run is not known here', ran=True)

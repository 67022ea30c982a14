"""Operations of operators on organisations, budgets and grant holders."""

import asyncio

from dandelioncleat.app._operator_failure import (
    conflict,
    invalid,
    no_verdict,
    not_found,
)
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.identity import (
    BudgetId,
    Digest,
    Incarnation,
    organisation_of,
)
from dandelioncleat.core.operator_view import OrganisationView
from dandelioncleat.core.record import Absolve, FleetRecord, Retire
from dandelioncleat.ports.ledger_view import LedgerView

VERDICT_TIMEOUT_S = 10.0
RESERVED_REFERENCE = 'initial'


class BudgetOperations:
    """Tops up budgets, retires holders and releases their tokens."""

    def __init__(
        self,
        *,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        ledger: LedgerView,
    ) -> None:
        """Take the configuration, the fleet and the ledger of this router."""
        self._configuration = configuration
        self._fleet = fleet
        self._ledger = ledger

    def organisations(self) -> tuple[OrganisationView, ...]:
        """Return every organisation that is configured or has a budget."""
        configured = self._configuration.current.organisations_by_name
        budgets = self._ledger.budgets()
        names = {organisation_of(view.budget) for view in budgets}
        return tuple(
            self._organisation(name) for name in sorted({*names, *configured})
        )

    def organisation(self, name: str) -> OrganisationView:
        """Return one organisation."""
        for view in self.organisations():
            if view.name == name:
                return view
        raise not_found('organisation', name)

    async def top_up(
        self,
        budget: BudgetId,
        tokens: int,
        reference: str,
    ) -> bool:
        """Add tokens once for a reference; return false for a repeat."""
        configured = self._configuration.current.organisations_by_name
        if organisation_of(budget) not in configured:
            raise not_found('organisation', organisation_of(budget))
        if reference == RESERVED_REFERENCE:
            raise invalid('reference', 'the reference is reserved')
        return await self._ledger.top_up(budget, tokens, reference)

    async def retire(
        self, holder: Incarnation, operator: str, reason: str
    ) -> None:
        """Permanently fence the grants of a holder."""
        if holder not in self._fleet.fold.members_by_incarnation:
            raise not_found('holder', holder)
        await self._record(Retire(holder, f'{operator}: {reason}'))

    async def release(
        self,
        holder: Incarnation,
        operator: str,
        gone: tuple[Incarnation, ...],
    ) -> int:
        """Release a retired holder's tokens; return how many.

        :param gone: sidecars that the operator knows to be gone permanently
        """
        fold = self._fleet.fold
        if not fold.is_retired(holder):
            text = f'{holder} is not retired; retire it first'
            raise conflict('release', text)
        waiting = fold.retirements.waiting_for(holder)
        unnamed = [sidecar for sidecar in waiting if sidecar not in gone]
        if unnamed:
            names = ', '.join(unnamed)
            text = f'these sidecars may still spend its grants: {names}'
            raise conflict('release', text)
        return await self._ledger.release(holder, operator)

    async def absolve(self, digest: Digest, operator: str) -> None:
        """Lift the quarantine of a request."""
        if not self._fleet.fold.quarantine.crashes(digest):
            raise not_found('digest', digest)
        await self._record(Absolve(digest, operator))

    def _organisation(self, name: str) -> OrganisationView:
        configured = self._configuration.current.organisations_by_name
        organisation = configured.get(name)
        budgets = tuple(
            view
            for view in self._ledger.budgets()
            if organisation_of(view.budget) == name
        )
        if organisation is None:
            return OrganisationView(name, False, (), 0, 0, budgets)
        return OrganisationView(
            name=name,
            is_configured=True,
            services=organisation.services,
            max_running=organisation.max_running,
            keys=len(organisation.credentials),
            budgets=budgets,
        )

    async def _record(self, record: FleetRecord) -> None:
        try:
            async with asyncio.timeout(VERDICT_TIMEOUT_S):
                await self._fleet.submit(record)
        except TimeoutError as error:
            raise no_verdict('record', 'fleet') from error

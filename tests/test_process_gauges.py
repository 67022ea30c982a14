"""Tests of the gauges of a process."""

from structlog.testing import capture_logs
from testtools import TestCase

from dandelioncleat.adapters import virtual_time
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.process_gauges import ProcessGauges
from dandelioncleat.core.identity import BudgetId, Digest, Incarnation
from dandelioncleat.core.operator_view import BudgetView
from dandelioncleat.core.record import Crash, Join, Retire
from dandelioncleat.ports.telemetry import NullTelemetry
from dandelioncleat.standin.log import MemoryLog
from tests.test_configuration_keeper import new_keeper, running


class Gauges(NullTelemetry):
    """Keeps the last level of each gauge."""

    def __init__(self):
        self.level_by_name = {}

    def gauge(self, name, value, /, **attributes):
        self.level_by_name[name] = value


class Ledger:
    """A ledger in which a dead router holds tokens."""

    def holdings(self):
        budget = BudgetId('agent-1')
        return {Incarnation('dead/1'): {budget: 70}, 'alive/1': {budget: 5}}

    def budgets(self):
        return (BudgetView(BudgetId('agent-1'), 100, 9, 0, 75, 16, 3),)


class GaugesTest(TestCase):
    """Levels are set and changes are logged once."""

    def test_sampling_sets_gauges_and_logs_changes_once(self):
        async def scenario():
            log = MemoryLog()
            keeper = new_keeper(log, 'router-1')
            fleet = FleetKeeper(log=log, producer=Incarnation('router-1/1'))
            gauges = Gauges()
            process_gauges = ProcessGauges(
                telemetry=gauges,
                incarnation=Incarnation('router-1/1'),
                configuration=keeper,
                fleet=fleet,
                ledger=Ledger(),
            )
            async with running(keeper, fleet):
                await fleet.submit(
                    Join(Incarnation('gpu-1/1'), 'sidecar', 'a', 'gpu-1'),
                    Retire(Incarnation('dead/1'), ''),
                    Crash('t', (Digest('x'),), '1'),
                    Crash('t', (Digest('x'),), '2'),
                )
                await keeper.caught_up.wait()
                process_gauges.sample()
                keeper.note_peer_version(3, 'router-2/1')
                log.outage = True
                process_gauges.sample()
                process_gauges.sample()
            return gauges.level_by_name

        with capture_logs() as lines:
            levels = virtual_time.run(scenario())
        self.assertEqual(
            {
                'configuration.version': 0,
                'configuration.versions_behind': 3,
                'configuration.ready': 0,
                'log.failing': 0,
                'quarantine.refused_requests': 1,
                'fleet.draining_holders': 1,
                'ledger.stranded_tokens': 70,
                'ledger.late_tokens': 3,
            },
            levels,
        )
        self.assertEqual([True, False], [line['is_ready'] for line in lines])

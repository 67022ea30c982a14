"""Tests of the demonstration and of its consistency checker."""

import asyncio
import io
from collections import Counter

import aiohttp
import msgspec
import testtools
from rich.console import Console

from dandelioncleat.core.identity import Incarnation, RequestKey, RunId
from dandelioncleat.demo import scenarios
from dandelioncleat.demo.caller import (
    ANSWERED,
    NOT_RUN,
    Answer,
    new_plain_request,
)
from dandelioncleat.demo.consistency import ConsistencyChecker
from dandelioncleat.demo.deployment import (
    BILLING,
    BILLING_PRICE_TOKENS,
    BUDGET_BY_ORGANISATION,
    SHIP_AGENTS,
)
from dandelioncleat.demo.fleet import DemoFleet
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.totals import (
    LedgerTotals,
    StandinTargets,
    read_ledger,
)
from dandelioncleat.standin.service import (
    PlainService,
    ServiceCall,
    ServiceRun,
    ServiceSettings,
)

POST = new_plain_request(
    SHIP_AGENTS, BILLING, 'k', path='invoices', price=5, document={'a': 1}
)


def new_answer(outcome, *, key='k', echoed_key='k', code=''):
    echo = {
        'organisation': SHIP_AGENTS,
        'key': f'billing-app/once/{echoed_key}',
        'echo': POST.body.decode(),
    }
    return Answer(
        POST._replace(key=key),
        201,
        outcome,
        code,
        msgspec.json.encode(echo).decode(),
        'billing-1',
        5,
        0,
        1,
    )


def new_run(key='k', *, method='POST', attempt=1):
    run_id = RunId(SHIP_AGENTS, f'b/once/{key}', Incarnation('h/1'), attempt)
    run = ServiceRun(ServiceCall(run_id, method, '/', b''), 0)
    run.took_effect = True
    run.started_at = 0
    run.ended_at = 1
    return run


async def new_checker(*runs):
    service = PlainService(ServiceSettings())
    service.runs.extend(runs)
    return ConsistencyChecker(
        StandinTargets({}, {'billing-1': service}, {'billing-1': BILLING})
    )


def new_ledger(**tokens_by_key):
    bills = {
        RequestKey(SHIP_AGENTS, key): tokens
        for key, tokens in tokens_by_key.items()
    }
    return LedgerTotals(Counter(), Counter(), bills, Counter())


class ConsistencyCheckerTest(testtools.TestCase):
    """Each violated guarantee is found."""

    def test_consistent_answers_give_no_findings(self):
        checker = asyncio.run(new_checker(new_run()))
        checker.record_answer(new_answer(ANSWERED))
        checker.record_answer(new_answer(NOT_RUN, key='other'))
        ledger = new_ledger(k=BILLING_PRICE_TOKENS)
        self.assertEqual([], checker.wrong_answers())
        self.assertEqual([], checker.refusals_that_ran())
        self.assertEqual([], checker.misbilled(ledger))

    def test_answer_to_another_request_is_wrong(self):
        checker = asyncio.run(new_checker(new_run()))
        checker.record_answer(new_answer(ANSWERED, echoed_key='other'))
        self.assertEqual(1, len(checker.wrong_answers()))

    def test_refusal_of_a_request_that_ran_is_found(self):
        checker = asyncio.run(new_checker(new_run()))
        checker.record_answer(new_answer(NOT_RUN))
        self.assertEqual(1, len(checker.refusals_that_ran()))

    def test_wrong_and_missing_bills_are_found(self):
        checker = asyncio.run(new_checker(new_run('k'), new_run('l')))
        self.assertEqual(2, len(checker.misbilled(new_ledger(k=1))))

    def test_double_runs_overspend_and_false_refusals_are_counted(self):
        calls = BUDGET_BY_ORGANISATION[SHIP_AGENTS] // BILLING_PRICE_TOKENS
        runs = [new_run(f'k{number}') for number in range(calls)]

        async def scenario():
            checker = await new_checker(*runs[1:], new_run('k1', attempt=2))
            before = ConsistencyChecker(checker._targets)
            before._targets.plain_services_by_name['billing-1'].runs.pop()
            before.record_answer(new_answer(NOT_RUN, code='budget'))
            before._targets.plain_services_by_name['billing-1'].runs.extend(
                (new_run('k1', attempt=2), new_run('k1', attempt=3))
            )
            summaries = before.summaries(
                LedgerTotals(Counter(), Counter(), {}, Counter())
            )
            return next(
                each for each in summaries if each.organisation == SHIP_AGENTS
            )

        summary = asyncio.run(scenario())
        self.assertEqual(2, summary.double_runs)
        self.assertEqual(BILLING_PRICE_TOKENS, summary.overspend)
        self.assertEqual(1, summary.false_refusals)


class DemoTest(testtools.TestCase):
    """The short scenarios keep every guarantee over real sockets."""

    def test_work_a_crash_and_a_planned_stop_keep_every_guarantee(self):
        async def scenario():
            report = Report(Console(file=io.StringIO()))
            async with aiohttp.ClientSession() as session:
                fleet = DemoFleet(session, report)
                try:
                    await fleet.open()
                    for run_scenario in (
                        scenarios.deploy,
                        scenarios.ordinary_work,
                        scenarios.router_crash,
                        scenarios.patch_conflict,
                        scenarios.planned_stop,
                    ):
                        await run_scenario(fleet)
                finally:
                    await fleet.close()
                ledger = await read_ledger(fleet.platform.log)
                return report, fleet.checker, ledger

        report, checker, ledger = asyncio.run(scenario())
        self.assertEqual([], report.violations)
        self.assertEqual([], checker.wrong_answers())
        self.assertEqual([], checker.misbilled(ledger))
        self.assertEqual(0, sum(ledger.held_by_organisation.values()))

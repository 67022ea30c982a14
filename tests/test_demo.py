"""Tests of the demonstration and of the witness that may fail it."""

import asyncio
import io
from collections import Counter

import aiohttp
import msgspec
import testtools
from rich.console import Console

from dandelioncleat.core.identity import Incarnation, RequestKey, RunId
from dandelioncleat.demo import scenes
from dandelioncleat.demo.account import LedgerAccount, Targets, read_ledger
from dandelioncleat.demo.caller import (
    ANSWERED,
    NOT_RUN,
    Answer,
    plain_question,
)
from dandelioncleat.demo.cast import (
    BILLING,
    BILLING_PRICE_TOKENS,
    BUDGET_BY_ORGANISATION,
    SHIP_AGENTS,
)
from dandelioncleat.demo.report import Report
from dandelioncleat.demo.stage import Stage
from dandelioncleat.demo.witness import Witness
from dandelioncleat.standin.service import (
    PlainService,
    ServiceCall,
    ServiceRun,
    ServiceSettings,
)

POST = plain_question(
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


async def new_witness(*runs):
    service = PlainService(ServiceSettings())
    service.runs.extend(runs)
    return Witness(Targets({}, {'billing-1': service}, {'billing-1': BILLING}))


def new_ledger(**tokens_by_key):
    bills = {
        RequestKey(SHIP_AGENTS, key): tokens
        for key, tokens in tokens_by_key.items()
    }
    return LedgerAccount(Counter(), Counter(), bills, Counter())


class WitnessTest(testtools.TestCase):
    """Each broken promise is seen."""

    def test_keeps_quiet_when_all_is_well(self):
        witness = asyncio.run(new_witness(new_run()))
        witness.note(new_answer(ANSWERED))
        witness.note(new_answer(NOT_RUN, key='other'))
        ledger = new_ledger(k=BILLING_PRICE_TOKENS)
        self.assertEqual([], witness.wrong_answers())
        self.assertEqual([], witness.untrue_refusals())
        self.assertEqual([], witness.misbilled(ledger))

    def test_sees_another_callers_answer(self):
        witness = asyncio.run(new_witness(new_run()))
        witness.note(new_answer(ANSWERED, echoed_key='other'))
        self.assertEqual(1, len(witness.wrong_answers()))

    def test_sees_an_untrue_not_run(self):
        witness = asyncio.run(new_witness(new_run()))
        witness.note(new_answer(NOT_RUN))
        self.assertEqual(1, len(witness.untrue_refusals()))

    def test_sees_a_wrong_and_a_missing_bill(self):
        witness = asyncio.run(new_witness(new_run('k'), new_run('l')))
        self.assertEqual(2, len(witness.misbilled(new_ledger(k=1))))

    def test_sees_double_runs_overspend_and_false_refusals(self):
        calls = BUDGET_BY_ORGANISATION[SHIP_AGENTS] // BILLING_PRICE_TOKENS
        runs = [new_run(f'k{number}') for number in range(calls)]

        async def scenario():
            witness = await new_witness(*runs[1:], new_run('k1', attempt=2))
            before = Witness(witness._targets)
            before._targets.plains_by_name['billing-1'].runs.pop()
            before.note(new_answer(NOT_RUN, code='budget'))
            before._targets.plains_by_name['billing-1'].runs.extend(
                (new_run('k1', attempt=2), new_run('k1', attempt=3))
            )
            accounts = before.accounts(
                LedgerAccount(Counter(), Counter(), {}, Counter())
            )
            return next(
                each for each in accounts if each.organisation == SHIP_AGENTS
            )

        account = asyncio.run(scenario())
        self.assertEqual(2, account.double_runs)
        self.assertEqual(BILLING_PRICE_TOKENS, account.overspend)
        self.assertEqual(1, account.false_refusals)


class DemoTest(testtools.TestCase):
    """The short scenes keep every promise over real sockets."""

    def test_work_a_death_and_a_planned_stop(self):
        async def scenario():
            report = Report(Console(file=io.StringIO()))
            async with aiohttp.ClientSession() as session:
                stage = Stage(session, report)
                try:
                    await stage.open()
                    for scene in (
                        scenes.deploy,
                        scenes.ordinary_work,
                        scenes.router_death,
                        scenes.race,
                        scenes.planned_stop,
                    ):
                        await scene(stage)
                finally:
                    await stage.close()
                ledger = await read_ledger(stage.platform.log)
                return report, stage.witness, ledger

        report, witness, ledger = asyncio.run(scenario())
        self.assertEqual([], report.breaches)
        self.assertEqual([], witness.wrong_answers())
        self.assertEqual([], witness.misbilled(ledger))
        self.assertEqual(0, sum(ledger.held_by_organisation.values()))

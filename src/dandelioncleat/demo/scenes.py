"""What the demonstration does, one scene after the other."""

import asyncio
from itertools import cycle
from typing import Any

import msgspec

from dandelioncleat.demo.account import read_ledger
from dandelioncleat.demo.caller import (
    ANSWERED,
    NOT_RUN,
    Answer,
    Question,
)
from dandelioncleat.demo.cast import (
    BILLING,
    BILLING_PRICE_TOKENS,
    BUDGET_BY_ORGANISATION,
    CORNER_SHOP,
    COUPON_PRICE_TOKENS,
    COUPONS,
    PHARMACIES,
    PORT_FINANCE,
    ROUTERS,
    SHIP_AGENTS,
    first_patch,
)
from dandelioncleat.demo.questions import (
    invoice,
    look_up,
    redemption,
    review,
    statement,
)
from dandelioncleat.demo.stage import Stage
from dandelioncleat.demo.wording import answer_text, tally, verdict_text
from dandelioncleat.operator.client import Answer as OperatorAnswer

IN_FORCE_LIMIT_S = 3.0
POLL_S = 0.05
FREED_LIMIT_S = 5.0
LONG_ANSWER_TOKENS = 300
QUESTIONS_A_KIND = 4
OUTAGE_S = 2.0
REFUSALS_AT_END = 3


async def deploy(stage: Stage) -> None:
    """Deploy services, targets and organisations by one patch."""
    stage.report.scene('One patch deploys two data centres, two workloads')
    document = first_patch(stage.keys_by_organisation, stage.operator_key)
    await submit(stage, ROUTERS[0].host, document, against=0, name='deploy')
    await _in_force(stage, 1)
    await stage.caught_up()
    for question in (invoice(SHIP_AGENTS), redemption(PHARMACIES)):
        await _until_answered(stage, question)
    stage.report.event('every service answers')


async def ordinary_work(stage: Stage) -> None:
    """Stream statements, post invoices, redeem coupons, look things up."""
    stage.report.scene('Ordinary work through every router')
    questions = [
        question
        for _ in range(QUESTIONS_A_KIND)
        for question in (
            statement(PORT_FINANCE),
            statement(SHIP_AGENTS),
            invoice(SHIP_AGENTS),
            look_up(PORT_FINANCE, BILLING, BILLING_PRICE_TOKENS),
            review(PHARMACIES),
            redemption(PHARMACIES),
            look_up(PHARMACIES, COUPONS, COUPON_PRICE_TOKENS),
        )
    ]
    answers = await _ask_all(stage, questions)
    stage.report.event(tally(answers))
    stage.report.check(
        all(each.outcome == ANSWERED for each in answers),
        'every request of the day is answered',
    )


async def router_death(stage: Stage) -> None:
    """Kill a router under an open stream and retry through another."""
    stage.report.scene('A router dies under an open stream')
    dying, other = ROUTERS[1].host, ROUTERS[2].host
    question = statement(PORT_FINANCE, LONG_ANSWER_TOKENS)
    stream = await _begin(stage, dying, question)
    await stage.kill_router(dying)
    received = len((await stream).text.split())
    stage.report.event(f'{dying} died after {received} tokens of the answer')
    again = await stage.callers.ask(stage.url(other), question)
    stage.report.event(f'{other}: {answer_text(again)}')
    stage.report.check(
        again.outcome == ANSWERED and again.is_whole,
        'the retry receives the whole answer',
    )
    stage.report.check(
        stage.witness.runs_of(question.key) == 1, 'the request ran once'
    )
    await _replace(stage, dying)
    await _freed(stage)


async def drain(stage: Stage) -> None:
    """Drain a target while it streams."""
    stage.report.scene('A target is drained while it streams')
    questions = [statement(PORT_FINANCE, LONG_ANSWER_TOKENS) for _ in range(4)]
    streams = asyncio.create_task(_ask_all(stage, questions))
    target = await _busy_target(stage, ('dues-1', 'dues-2'))
    quiet_from = await _drain_target(stage, target)
    later = await _ask_all(stage, [statement(SHIP_AGENTS) for _ in range(6)])
    stage.report.event(tally(later))
    begun = [
        run
        for run in stage.targets.engines_by_name[target].runs
        if run.opened_at >= quiet_from
    ]
    stage.report.check(not begun, f'{target} gets nothing new after 3 s')
    stage.report.check(
        all(one.outcome == ANSWERED for one in (*await streams, *later)),
        'no stream is cut, no request is lost',
    )


async def _drain_target(stage: Stage, target: str) -> float:
    version = max(stage.versions())
    document = {'targets': {target: {'drain': True}}}
    await submit(
        stage, ROUTERS[0].host, document, against=version, name='drain'
    )
    quiet_from = _now() + IN_FORCE_LIMIT_S
    await _in_force(stage, version + 1)
    await asyncio.sleep(max(0, quiet_from - _now()))
    return _now()


async def race(stage: Stage) -> None:
    """Submit two patches against one version at once."""
    stage.report.scene('Two operators race against the same version')
    version = max(stage.versions())
    changes = {'max_running': 50}, {'max_running': 60}
    verdicts = await asyncio.gather(
        *(
            submit(
                stage,
                router.host,
                {'organisations': {SHIP_AGENTS: change}},
                against=version,
                name=f'race-{router.host}',
            )
            for router, change in zip(ROUTERS[::2], changes, strict=True)
        )
    )
    stage.report.check(
        [each.is_success for each in verdicts].count(True) == 1,
        'one of two racing patches wins',
    )
    await _in_force(stage, version + 1)


async def log_outage(stage: Stage) -> None:
    """Cut the log and go on from the grants."""
    stage.report.scene('The log is out')
    stage.platform.log.outage = True
    await asyncio.sleep(OUTAGE_S / 2)
    status = look_up(PHARMACIES, COUPONS, COUPON_PRICE_TOKENS)
    answers = await _ask_all(
        stage,
        [statement(PORT_FINANCE), review(PHARMACIES), status],
    )
    stage.report.event(tally(answers))
    stage.report.check(
        all(answer.outcome == ANSWERED for answer in answers),
        'models and look-ups go on without the log',
    )
    posts = await _ask_all(
        stage, [invoice(SHIP_AGENTS), redemption(PHARMACIES)]
    )
    stage.report.event(tally(posts))
    stage.report.check(
        all(_is_true(stage, answer) for answer in posts),
        'a post is answered and ran, or is refused and did not run',
    )
    stage.platform.log.outage = False
    stage.report.event('the log is back')


async def budget_end(stage: Stage) -> None:
    """Run a small budget to its end through every router at once."""
    stage.report.scene('A budget is run to its end by every router at once')
    await asyncio.gather(*(_spend(stage, router.host) for router in ROUTERS))
    left = stage.witness.left(CORNER_SHOP)
    budget = BUDGET_BY_ORGANISATION[CORNER_SHOP]
    stage.report.event(f'{left} of the {budget} tokens are left')
    stage.report.check(left >= 0, 'no token is spent beyond the budget')


async def planned_stop(stage: Stage) -> None:
    """Stop every process as planned, under an open stream."""
    stage.report.scene('Every process stops as planned')
    question = statement(PORT_FINANCE, LONG_ANSWER_TOKENS)
    stream = await _begin(stage, ROUTERS[0].host, question)
    lost = await stage.stop_routers()
    answer = await stream
    stage.report.check(
        answer.outcome == ANSWERED, 'a planned stop cuts no stream'
    )
    lost.extend(await stage.stop_sidecars())
    stage.report.check(not lost, 'a planned stop loses nothing')


async def submit(
    stage: Stage,
    host: str,
    document: dict[str, Any],
    *,
    against: int,
    name: str,
) -> OperatorAnswer:
    """Submit a patch through a router and report the verdict."""
    answer = await stage.operator(host).submit(
        msgspec.json.encode(document), against=against, name=name
    )
    verdict = verdict_text(answer)
    stage.report.event(f'patch "{name}": {verdict}')
    return answer


async def _in_force(stage: Stage, version: int) -> None:
    started_at = _now()
    while min(stage.versions(), default=0) < version:
        if _now() > started_at + IN_FORCE_LIMIT_S:
            break
        await asyncio.sleep(POLL_S)
    elapsed_s = round(_now() - started_at, 2)
    text = f'version {version} is in force everywhere, after {elapsed_s} s'
    stage.report.check(min(stage.versions()) >= version, text)


async def _begin(
    stage: Stage,
    host: str,
    question: Question,
) -> 'asyncio.Task[Answer]':
    begun = asyncio.Event()
    stream = asyncio.create_task(
        stage.callers.ask(stage.url(host), question, begun=begun)
    )
    await begun.wait()
    return stream


async def _replace(stage: Stage, host: str) -> None:
    await stage.start_router(host)
    await stage.caught_up()
    stage.report.event(f'{host} is replaced by a new process')


async def _freed(stage: Stage) -> None:
    freed = 0
    limit = _now() + FREED_LIMIT_S
    while not freed and _now() < limit:
        await asyncio.sleep(POLL_S)
        ledger = await read_ledger(stage.platform.log)
        freed = sum(ledger.freed_by_holder.values())
    stage.report.check(freed > 0, f'the {freed} tokens that it held come back')


async def _until_answered(stage: Stage, question: Question) -> None:
    outcome = ''
    while outcome != ANSWERED:
        await asyncio.sleep(POLL_S)
        answer = await stage.callers.ask(stage.url(ROUTERS[0].host), question)
        outcome = answer.outcome


async def _ask_all(
    stage: Stage,
    questions: list[Question],
) -> list[Answer]:
    urls = cycle([stage.url(router.host) for router in ROUTERS])
    return await asyncio.gather(
        *(
            stage.callers.ask(url, question)
            for url, question in zip(urls, questions, strict=False)
        )
    )


def _is_true(stage: Stage, answer: Answer) -> bool:
    runs = stage.witness.runs_of(answer.question.key)
    return (answer.outcome, runs) in {(ANSWERED, 1), (NOT_RUN, 0)}


async def _spend(stage: Stage, host: str) -> None:
    refused = 0
    while refused < REFUSALS_AT_END:
        answer = await stage.callers.ask(stage.url(host), review(CORNER_SHOP))
        if answer.outcome == ANSWERED:
            refused = 0
            continue
        refused += 1
        if refused == 1:
            stage.report.event(f'{host}: {answer_text(answer)}')


async def _busy_target(stage: Stage, names: tuple[str, ...]) -> str:
    while True:
        for name in names:
            if stage.targets.engines_by_name[name].load().running:
                return name
        await asyncio.sleep(POLL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()


SCENES = (
    deploy,
    ordinary_work,
    router_death,
    drain,
    race,
    log_outage,
    budget_end,
    planned_stop,
)

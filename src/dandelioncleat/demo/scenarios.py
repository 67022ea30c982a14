"""The scenarios of the demonstration, in the order in which they run."""

import asyncio
from itertools import cycle
from typing import Any

import msgspec

from dandelioncleat.demo.caller import (
    ANSWERED,
    NOT_RUN,
    Answer,
    DemoRequest,
)
from dandelioncleat.demo.deployment import (
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
from dandelioncleat.demo.descriptions import (
    count_outcomes,
    describe_answer,
    describe_verdict,
)
from dandelioncleat.demo.fleet import DemoFleet
from dandelioncleat.demo.requests import (
    invoice,
    look_up,
    redemption,
    review,
    statement,
)
from dandelioncleat.demo.totals import read_ledger
from dandelioncleat.operator.client import Answer as OperatorAnswer

IN_FORCE_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.05
FREED_TIMEOUT_S = 5.0
LONG_ANSWER_TOKENS = 300
REQUESTS_PER_KIND = 4
OUTAGE_S = 2.0
MAX_SUCCESSIVE_REFUSALS = 3


async def deploy(fleet: DemoFleet) -> None:
    """Deploy services, targets and organisations with one patch."""
    fleet.report.heading('One patch deploys two data centres, two workloads')
    document = first_patch(fleet.keys_by_organisation, fleet.operator_key)
    await submit(fleet, ROUTERS[0].host, document, against=0, name='deploy')
    await _check_version_in_force(fleet, 1)
    await fleet.wait_until_caught_up()
    for request in (invoice(SHIP_AGENTS), redemption(PHARMACIES)):
        await _wait_until_answered(fleet, request)
    fleet.report.event('every service answers')


async def ordinary_work(fleet: DemoFleet) -> None:
    """Stream statements, post invoices, redeem coupons, look up statuses."""
    fleet.report.heading('Ordinary work through every router')
    requests = [
        request
        for _ in range(REQUESTS_PER_KIND)
        for request in (
            statement(PORT_FINANCE),
            statement(SHIP_AGENTS),
            invoice(SHIP_AGENTS),
            look_up(PORT_FINANCE, BILLING, BILLING_PRICE_TOKENS),
            review(PHARMACIES),
            redemption(PHARMACIES),
            look_up(PHARMACIES, COUPONS, COUPON_PRICE_TOKENS),
        )
    ]
    answers = await _send_all(fleet, requests)
    fleet.report.event(count_outcomes(answers))
    fleet.report.check(
        all(each.outcome == ANSWERED for each in answers),
        'every request is answered',
    )


async def router_crash(fleet: DemoFleet) -> None:
    """Kill a router during an open stream and retry through another."""
    fleet.report.heading('A router crashes during an open stream')
    crashed_host, other = ROUTERS[1].host, ROUTERS[2].host
    request = statement(PORT_FINANCE, LONG_ANSWER_TOKENS)
    stream = await _start_stream(fleet, crashed_host, request)
    await fleet.kill_router(crashed_host)
    received = len((await stream).text.split())
    fleet.report.event(
        f'{crashed_host} crashed after {received} tokens of the answer'
    )
    again = await fleet.callers.send(fleet.url(other), request)
    fleet.report.event(f'{other}: {describe_answer(again)}')
    fleet.report.check(
        again.outcome == ANSWERED and again.is_complete,
        'the retry receives the complete answer',
    )
    fleet.report.check(
        fleet.checker.count_runs(request.key) == 1, 'the request ran once'
    )
    await _restart_router(fleet, crashed_host)
    await _check_tokens_freed(fleet)


async def drain(fleet: DemoFleet) -> None:
    """Drain a target while it streams."""
    fleet.report.heading('A target is drained while it streams')
    requests = [statement(PORT_FINANCE, LONG_ANSWER_TOKENS) for _ in range(4)]
    streams = asyncio.create_task(_send_all(fleet, requests))
    target = await _busy_target(fleet, ('dues-1', 'dues-2'))
    quiet_from = await _drain_target(fleet, target)
    later = await _send_all(fleet, [statement(SHIP_AGENTS) for _ in range(6)])
    fleet.report.event(count_outcomes(later))
    new_runs = [
        run
        for run in fleet.targets.engines_by_name[target].runs
        if run.opened_at >= quiet_from
    ]
    fleet.report.check(
        not new_runs, f'{target} receives no new request after 3 s'
    )
    fleet.report.check(
        all(one.outcome == ANSWERED for one in (*await streams, *later)),
        'no stream is interrupted, no request is lost',
    )


async def _drain_target(fleet: DemoFleet, target: str) -> float:
    version = max(fleet.versions())
    document = {'targets': {target: {'drain': True}}}
    await submit(
        fleet, ROUTERS[0].host, document, against=version, name='drain'
    )
    quiet_from = _now() + IN_FORCE_TIMEOUT_S
    await _check_version_in_force(fleet, version + 1)
    await asyncio.sleep(max(0, quiet_from - _now()))
    return _now()


async def patch_conflict(fleet: DemoFleet) -> None:
    """Submit two patches against the same version at once."""
    fleet.report.heading('Two operators patch the same version at once')
    version = max(fleet.versions())
    changes = {'max_running': 50}, {'max_running': 60}
    verdicts = await asyncio.gather(
        *(
            submit(
                fleet,
                router.host,
                {'organisations': {SHIP_AGENTS: change}},
                against=version,
                name=f'race-{router.host}',
            )
            for router, change in zip(ROUTERS[::2], changes, strict=True)
        )
    )
    fleet.report.check(
        [each.is_success for each in verdicts].count(True) == 1,
        'one of two concurrent patches is accepted',
    )
    await _check_version_in_force(fleet, version + 1)


async def log_outage(fleet: DemoFleet) -> None:
    """Make the log unavailable and serve requests from the grants."""
    fleet.report.heading('The log is unavailable')
    fleet.platform.log.outage = True
    await asyncio.sleep(OUTAGE_S / 2)
    status = look_up(PHARMACIES, COUPONS, COUPON_PRICE_TOKENS)
    answers = await _send_all(
        fleet,
        [statement(PORT_FINANCE), review(PHARMACIES), status],
    )
    fleet.report.event(count_outcomes(answers))
    fleet.report.check(
        all(answer.outcome == ANSWERED for answer in answers),
        'models and look-ups are answered without the log',
    )
    posts = await _send_all(
        fleet, [invoice(SHIP_AGENTS), redemption(PHARMACIES)]
    )
    fleet.report.event(count_outcomes(posts))
    fleet.report.check(
        all(_is_consistent(fleet, answer) for answer in posts),
        'a post is answered and ran, or is refused and did not run',
    )
    fleet.platform.log.outage = False
    fleet.report.event('the log is available again')


async def budget_exhaustion(fleet: DemoFleet) -> None:
    """Exhaust a small budget through every router at once."""
    fleet.report.heading(
        'Every router spends from a budget until it is exhausted'
    )
    await asyncio.gather(
        *(_spend_budget(fleet, router.host) for router in ROUTERS)
    )
    left = fleet.checker.remaining_tokens(CORNER_SHOP)
    budget = BUDGET_BY_ORGANISATION[CORNER_SHOP]
    fleet.report.event(f'{left} of the {budget} tokens are left')
    fleet.report.check(left >= 0, 'no token is spent beyond the budget')


async def planned_stop(fleet: DemoFleet) -> None:
    """Stop every process as planned, during an open stream."""
    fleet.report.heading('Every process stops as planned')
    request = statement(PORT_FINANCE, LONG_ANSWER_TOKENS)
    stream = await _start_stream(fleet, ROUTERS[0].host, request)
    lost = await fleet.stop_routers()
    answer = await stream
    fleet.report.check(
        answer.outcome == ANSWERED, 'a planned stop interrupts no stream'
    )
    lost.extend(await fleet.stop_sidecars())
    fleet.report.check(not lost, 'a planned stop loses nothing')


async def submit(
    fleet: DemoFleet,
    host: str,
    document: dict[str, Any],
    *,
    against: int,
    name: str,
) -> OperatorAnswer:
    """Submit a patch through a router and report the verdict."""
    answer = await fleet.operator(host).submit(
        msgspec.json.encode(document), against=against, name=name
    )
    verdict = describe_verdict(answer)
    fleet.report.event(f'patch "{name}": {verdict}')
    return answer


async def _check_version_in_force(fleet: DemoFleet, version: int) -> None:
    started_at = _now()
    while min(fleet.versions(), default=0) < version:
        if _now() > started_at + IN_FORCE_TIMEOUT_S:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    elapsed_s = round(_now() - started_at, 2)
    text = f'version {version} is in force everywhere, after {elapsed_s} s'
    fleet.report.check(min(fleet.versions()) >= version, text)


async def _start_stream(
    fleet: DemoFleet,
    host: str,
    request: DemoRequest,
) -> 'asyncio.Task[Answer]':
    first_part = asyncio.Event()
    stream = asyncio.create_task(
        fleet.callers.send(fleet.url(host), request, first_part=first_part)
    )
    await first_part.wait()
    return stream


async def _restart_router(fleet: DemoFleet, host: str) -> None:
    await fleet.start_router(host)
    await fleet.wait_until_caught_up()
    fleet.report.event(f'{host} is replaced by a new process')


async def _check_tokens_freed(fleet: DemoFleet) -> None:
    freed = 0
    limit = _now() + FREED_TIMEOUT_S
    while not freed and _now() < limit:
        await asyncio.sleep(POLL_INTERVAL_S)
        ledger = await read_ledger(fleet.platform.log)
        freed = sum(ledger.freed_by_holder.values())
    fleet.report.check(freed > 0, f'the {freed} tokens that it held are freed')


async def _wait_until_answered(fleet: DemoFleet, request: DemoRequest) -> None:
    outcome = ''
    while outcome != ANSWERED:
        await asyncio.sleep(POLL_INTERVAL_S)
        answer = await fleet.callers.send(fleet.url(ROUTERS[0].host), request)
        outcome = answer.outcome


async def _send_all(
    fleet: DemoFleet,
    requests: list[DemoRequest],
) -> list[Answer]:
    urls = cycle([fleet.url(router.host) for router in ROUTERS])
    return await asyncio.gather(
        *(
            fleet.callers.send(url, request)
            for url, request in zip(urls, requests, strict=False)
        )
    )


def _is_consistent(fleet: DemoFleet, answer: Answer) -> bool:
    runs = fleet.checker.count_runs(answer.request.key)
    return (answer.outcome, runs) in {(ANSWERED, 1), (NOT_RUN, 0)}


async def _spend_budget(fleet: DemoFleet, host: str) -> None:
    refused = 0
    while refused < MAX_SUCCESSIVE_REFUSALS:
        answer = await fleet.callers.send(fleet.url(host), review(CORNER_SHOP))
        if answer.outcome == ANSWERED:
            refused = 0
            continue
        refused += 1
        if refused == 1:
            fleet.report.event(f'{host}: {describe_answer(answer)}')


async def _busy_target(fleet: DemoFleet, names: tuple[str, ...]) -> str:
    while True:
        for name in names:
            if fleet.targets.engines_by_name[name].load().running:
                return name
        await asyncio.sleep(POLL_INTERVAL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()


SCENARIOS = (
    deploy,
    ordinary_work,
    router_crash,
    drain,
    patch_conflict,
    log_outage,
    budget_exhaustion,
    planned_stop,
)

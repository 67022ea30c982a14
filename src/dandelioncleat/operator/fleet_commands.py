"""Commands on targets, quarantined requests and the whole fleet."""

import argparse
import json
from functools import partial
from typing import Any

from dandelioncleat.operator.client import Answer, OperatorClient
from dandelioncleat.operator.exit_code import ExitCode
from dandelioncleat.operator.output import (
    print_json,
    print_line,
    print_rows,
    report,
    show,
)
from dandelioncleat.operator.patch_commands import patch_id
from dandelioncleat.operator.session import new_options, runner

TARGET_COLUMNS = (
    'name',
    'service',
    'data_centre',
    'slots',
    'drain',
    'sidecars',
)
DRAIN_ATTEMPTS = 5
MEMBER_COLUMNS = ('incarnation', 'role', 'data_centre', 'state', 'version')
HOLDER_COLUMNS = ('holder', 'state', 'budget', 'tokens', 'waiting')
SUSPECT_COLUMNS = ('digest', 'crashes', 'is_refused')


def add_parsers(commands: Any) -> None:
    """Add ``target``, ``quarantine`` and ``status``."""
    _add_target(commands)
    quarantine = commands.add_parser(
        'quarantine',
        help='requests that crash targets',
    )
    actions = quarantine.add_subparsers(required=True, metavar='ACTION')
    lift = actions.add_parser('lift', parents=[new_options()])
    lift.add_argument('digest')
    lift.set_defaults(run=runner(_lift))
    status = commands.add_parser(
        'status',
        parents=[new_options()],
        help='the processes and what needs an operator',
    )
    status.set_defaults(run=runner(_status))


def _add_target(commands: Any) -> None:
    target = commands.add_parser('target', help='targets and their draining')
    actions = target.add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser('list', parents=[new_options()])
    listing.set_defaults(run=runner(_list))
    drain = actions.add_parser('drain', parents=[new_options()])
    drain.add_argument('name')
    drain.add_argument(
        '--undo', action='store_true', help='send it requests again'
    )
    drain.set_defaults(run=runner(_drain))


async def _list(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get('targets')
    return show(
        answer,
        as_json=arguments.json,
        display=partial(print_rows, 'targets', TARGET_COLUMNS),
    )


async def _drain(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    drain = not arguments.undo
    for _ in range(DRAIN_ATTEMPTS):
        answer = await client.get('configuration')
        if not answer.is_success:
            break
        targets = answer.document['document']['targets']
        if targets.get(arguments.name, {}).get('drain') == drain:
            return _report_drain(arguments, answer)
        answer = await _submit_drain(
            client,
            arguments.name,
            drain=drain,
            against=answer.document['version'],
        )
        if answer.is_success:
            return _report_drain(arguments, answer)
        if answer.document.get('verdict') != 'conflict':
            break
    return report(answer, as_json=arguments.json)


async def _submit_drain(
    client: OperatorClient,
    name: str,
    *,
    drain: bool,
    against: int,
) -> Answer:
    document = {'targets': {name: {'drain': drain}}}
    body = json.dumps(document).encode()
    identity = patch_id(body, against)
    return await client.submit(body, against=against, name=identity)


def _report_drain(arguments: argparse.Namespace, answer: Answer) -> ExitCode:
    version = answer.document['version']
    if arguments.json:
        print_json({'target': arguments.name, 'version': version})
    else:
        state = 'accepts requests' if arguments.undo else 'drains'
        print_line(f'{arguments.name} {state} since version {version}.')
    return ExitCode.DONE


async def _lift(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.post('absolutions', {'digest': arguments.digest})
    return show(
        answer,
        as_json=arguments.json,
        display=lambda _: print_line(f'{arguments.digest} may run again.'),
    )


async def _status(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get('status')
    return show(
        answer,
        as_json=arguments.json,
        display=_print_status,
    )


def _print_status(fleet: dict[str, Any]) -> None:
    print_line(f'Newest version known to this router: {fleet["version"]}')
    if fleet['log_failing']:
        print_line('The log does not answer; no change is accepted now.')
    print_rows('processes', MEMBER_COLUMNS, fleet['members'])
    if fleet['lagging']:
        lagging = ', '.join(fleet['lagging'])
        print_line(f'On an older version: {lagging}')
    if fleet['diverged']:
        diverged = ', '.join(fleet['diverged'])
        print_line(f'On another history of patches: {diverged}')
    if fleet['stranded']:
        print_rows('stranded tokens', HOLDER_COLUMNS, fleet['stranded'])
    if fleet['quarantined']:
        print_rows('suspect requests', SUSPECT_COLUMNS, fleet['quarantined'])

"""Commands on organisations and their budgets."""

import argparse
from functools import partial
from typing import Any

from dandelioncleat.operator.client import OperatorClient
from dandelioncleat.operator.exit_code import ExitCode
from dandelioncleat.operator.output import (
    print_json,
    print_line,
    print_rows,
    print_table,
    report,
    show,
)
from dandelioncleat.operator.session import new_options, runner

_TOKEN_COLUMNS = ('topped_up', 'billed', 'wasted', 'held', 'left', 'late')


def add_parsers(commands: Any) -> None:
    """Add ``organisation`` and ``budget``."""
    _add_organisation(commands)
    _add_budget(commands)


def _add_organisation(commands: Any) -> None:
    organisation = commands.add_parser(
        'organisation',
        help='balances and top-ups',
    )
    actions = organisation.add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser('list', parents=[new_options()])
    listing.set_defaults(run=runner(_list))
    show = actions.add_parser('show', parents=[new_options()])
    show.add_argument('name')
    show.set_defaults(run=runner(_show))
    top_up = actions.add_parser('top-up', parents=[new_options()])
    top_up.add_argument('name')
    top_up.add_argument('tokens', type=int)
    top_up.add_argument(
        '--reference',
        required=True,
        help='such as an invoice number; a repeated one has no effect',
    )
    top_up.add_argument('--budget', default='', help='a separate budget')
    top_up.set_defaults(run=runner(_top_up))


def _add_budget(commands: Any) -> None:
    budget = commands.add_parser('budget', help='holders of budgets')
    actions = budget.add_subparsers(required=True, metavar='ACTION')
    holders = actions.add_parser('holders', parents=[new_options()])
    holders.add_argument('--budget', help='only this budget')
    holders.set_defaults(run=runner(_holders))
    retire = actions.add_parser('retire', parents=[new_options()])
    retire.add_argument('holder')
    retire.add_argument('--reason', default='')
    retire.set_defaults(run=runner(_retire))
    release = actions.add_parser('release', parents=[new_options()])
    release.add_argument('holder')
    release.add_argument(
        '--gone',
        action='append',
        default=[],
        metavar='SIDECAR',
        help='a sidecar that is permanently lost with its host',
    )
    release.set_defaults(run=runner(_release))


async def _list(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get('organisations')
    code = report(answer, as_json=arguments.json)
    if code is ExitCode.DONE:
        _print_organisations(answer.document, as_json=arguments.json)
    return code


async def _show(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get(f'organisations/{arguments.name}')
    return show(
        answer,
        as_json=arguments.json,
        display=_print_organisation,
    )


def _print_organisation(document: dict[str, Any]) -> None:
    settings = {
        field: part for field, part in document.items() if field != 'budgets'
    }
    print_table('organisation', ('field', 'value'), settings.items())
    columns = ('budget', *_TOKEN_COLUMNS)
    print_rows('tokens', columns, document['budgets'])


def _print_organisations(
    organisations: list[dict[str, Any]],
    *,
    as_json: bool,
) -> None:
    if as_json:
        print_json(organisations)
        return
    rows = (
        (
            view['name'],
            view['is_configured'],
            len(view['budgets']),
            *(
                sum(budget[column] for budget in view['budgets'])
                for column in _TOKEN_COLUMNS
            ),
        )
        for view in organisations
    )
    columns = ('name', 'configured', 'budgets', *_TOKEN_COLUMNS)
    print_table('organisations', columns, rows)


async def _top_up(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    order = {
        'tokens': arguments.tokens,
        'reference': arguments.reference,
        'budget': arguments.budget,
    }
    path = f'organisations/{arguments.name}/top-ups'
    answer = await client.post(path, order)
    return show(
        answer,
        as_json=arguments.json,
        display=partial(_print_top_up, order),
    )


def _print_top_up(order: dict[str, Any], document: dict[str, Any]) -> None:
    if document['repeated']:
        reference = order['reference']
        print_line(f'Reference {reference} was topped up before.')
        return
    budget = document['budget']
    print_line(f'Added {order["tokens"]} tokens to {budget}.')


async def _holders(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get('holders')
    code = report(answer, as_json=arguments.json)
    if code is not ExitCode.DONE:
        return code
    holders = [
        view
        for view in answer.document
        if arguments.budget in {None, view['budget']}
    ]
    if arguments.json:
        print_json(holders)
    else:
        columns = ('holder', 'state', 'budget', 'tokens', 'waiting')
        print_rows('holders', columns, holders)
    return code


async def _retire(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    order = {'holder': arguments.holder, 'reason': arguments.reason}
    answer = await client.post('retirements', order)
    return show(
        answer,
        as_json=arguments.json,
        display=lambda _: print_line(f'{arguments.holder} is fenced.'),
    )


async def _release(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    order = {'holder': arguments.holder, 'gone': arguments.gone}
    answer = await client.post('releases', order)
    return show(
        answer,
        as_json=arguments.json,
        display=_print_freed,
    )


def _print_freed(document: dict[str, Any]) -> None:
    print_line(f'Freed {document["tokens"]} tokens.')

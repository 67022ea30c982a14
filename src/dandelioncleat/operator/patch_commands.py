"""Commands on patches and on the configuration."""

import argparse
import asyncio
import hashlib
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from dandelioncleat.core.configuration_document import differences
from dandelioncleat.operator.client import Answer, OperatorClient
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

POLL_INTERVAL_S = 0.25
WAIT_LIMIT_S = 10.0
ID_CHARACTERS = 32


def add_parsers(commands: Any) -> None:
    """Add ``patch`` and ``config``."""
    _add_patch(commands)
    _add_config(commands)


def patch_id(body: bytes, against: int) -> str:
    """Return the default id of a patch.

    The id is derived from the document and the version, so that running a
    command again has no second effect.
    """
    text = b'%d\n%b' % (against, body)
    return hashlib.sha256(text).hexdigest()[:ID_CHARACTERS]


def _add_patch(commands: Any) -> None:
    patch = commands.add_parser('patch', help='submit and look up patches')
    actions = patch.add_subparsers(required=True, metavar='ACTION')
    submit = actions.add_parser('submit', parents=[new_options()])
    submit.add_argument('file', help='JSON document, or - for standard input')
    submit.add_argument('--against', type=int, required=True, metavar='N')
    submit.add_argument('--id', help='default: a hash of document and version')
    submit.add_argument(
        '--wait',
        action='store_true',
        help='wait until the version is in force in every process',
    )
    submit.add_argument(
        '--wait-limit',
        type=float,
        default=WAIT_LIMIT_S,
        metavar='S',
    )
    submit.set_defaults(run=runner(_submit))
    show = actions.add_parser('show', parents=[new_options()])
    show.add_argument('id')
    show.set_defaults(run=runner(_show_patch))


def _add_config(commands: Any) -> None:
    config = commands.add_parser('config', help='read the configuration')
    actions = config.add_subparsers(required=True, metavar='ACTION')
    show = actions.add_parser('show', parents=[new_options()])
    show.add_argument('--version', type=int, metavar='N')
    show.set_defaults(run=runner(_show_configuration))
    history = actions.add_parser('history', parents=[new_options()])
    history.set_defaults(run=runner(_show_history))
    diff = actions.add_parser('diff', parents=[new_options()])
    diff.add_argument('before', type=int)
    diff.add_argument('after', type=int, nargs='?', help='default: the newest')
    diff.set_defaults(run=runner(_show_differences))


async def _submit(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    body = _read(arguments.file)
    name = arguments.id or patch_id(body, arguments.against)
    answer = await client.submit(body, against=arguments.against, name=name)
    code = report(answer, as_json=arguments.json)
    if code is not ExitCode.DONE:
        return code
    if arguments.json:
        print_json({'id': name, **answer.document})
    else:
        version = answer.document['version']
        print_line(f'Accepted as version {version}, patch id {name}.')
    if arguments.wait:
        return await _wait_in_force(
            client, arguments, answer.document['version']
        )
    return code


async def _wait_in_force(
    client: OperatorClient,
    arguments: argparse.Namespace,
    version: int,
) -> ExitCode:
    lagging: list[str] = []
    try:
        async with asyncio.timeout(arguments.wait_limit):
            while True:
                answer = await client.get('status')
                lagging = _lagging_members(answer, version)
                if not lagging:
                    break
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        names = ', '.join(lagging) or 'unknown'
        sys.stderr.write(f'Not yet in force in: {names}\n')
        return ExitCode.LAGGING
    if not arguments.json:
        print_line(f'Version {version} is in force everywhere.')
    return ExitCode.DONE


def _lagging_members(answer: Answer, version: int) -> list[str]:
    if not answer.is_success:
        return ['all']
    return [
        member['incarnation']
        for member in answer.document['members']
        if member['version'] < version
    ]


async def _show_patch(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get(f'patches/{arguments.id}')
    code = report(answer, as_json=arguments.json)
    if code is not ExitCode.DONE:
        return code
    if arguments.json or answer.document['verdict'] != 'accepted':
        print_json(answer.document)
    else:
        print_line(f'Accepted as version {answer.document["version"]}.')
    return code


async def _show_configuration(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await _get_version(client, arguments.version)
    return show(
        answer,
        as_json=arguments.json,
        display=_print_version,
    )


def _print_version(found: dict[str, Any]) -> None:
    document = found['document']
    print_line(f'Version {found["version"]}')
    for section, entries in document.items():
        if section == 'policy':
            print_table(section, ('setting', 'value'), entries.items())
        elif entries:
            _print_section(section, entries)


def _print_section(section: str, entries: dict[str, Any]) -> None:
    fields = [
        field for field in next(iter(entries.values())) if field != 'digest'
    ]
    rows = (
        (field, *(_without_digests(entry[field]) for entry in entries.values()))
        for field in fields
    )
    if section == 'services':
        print_table(section, ('field', *entries), rows)
        return
    lines = (
        (name, *(_without_digests(entry[field]) for field in fields))
        for name, entry in entries.items()
    )
    print_table(section, ('name', *fields), lines)


def _without_digests(part: Any) -> Any:
    """Replace each credential with its salt, to hide the digest."""
    if not isinstance(part, list):
        return part
    return [
        entry['salt'] if isinstance(entry, dict) else entry for entry in part
    ]


async def _show_history(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    answer = await client.get('configuration/history')
    return show(
        answer,
        as_json=arguments.json,
        display=_print_history,
    )


def _print_history(entries: list[dict[str, Any]]) -> None:
    columns = ('version', 'appended', 'operator', 'patch', 'digest')
    rows = (
        (
            entry['version'],
            _iso_time(entry['appended_at']),
            entry['operator'],
            entry['patch'],
            entry['digest'][:12],
        )
        for entry in entries
    )
    print_table('history', columns, rows)


async def _show_differences(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> ExitCode:
    documents = []
    for version in (arguments.before, arguments.after):
        answer = await _get_version(client, version)
        code = report(answer, as_json=arguments.json)
        if code is not ExitCode.DONE:
            return code
        documents.append(answer.document['document'])
    found = [line._asdict() for line in differences(*documents)]
    if arguments.json:
        print_json(found)
    else:
        print_rows('differences', ('key', 'before', 'after'), found)
    return ExitCode.DONE


async def _get_version(client: OperatorClient, version: int | None) -> Answer:
    if version is None:
        return await client.get('configuration')
    return await client.get('configuration', version=str(version))


def _read(name: str) -> bytes:
    if name == '-':
        return sys.stdin.buffer.read()
    return Path(name).read_bytes()


def _iso_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec='seconds')

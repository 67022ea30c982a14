"""Prints answers as tables or as JSON."""

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any

from rich.console import Console
from rich.table import Table

from dandelioncleat.adapters.defect_table import print_defects
from dandelioncleat.core.defect import Defect
from dandelioncleat.operator.client import Answer
from dandelioncleat.operator.exit_code import ExitCode

HTTP_UNAUTHORIZED = 401
NON_TERMINAL_WIDTH = 200


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    print_line(json.dumps(document, indent=2))


def print_table(
    title: str,
    columns: tuple[str, ...],
    rows: Iterable[tuple[Any, ...]],
) -> None:
    """Print rows under column names."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*(_cell(part) for part in row))
    console = Console(markup=False)
    if not console.is_terminal:
        console.width = NON_TERMINAL_WIDTH
    console.print(table)


def print_rows(
    title: str,
    columns: tuple[str, ...],
    entries: list[dict[str, Any]],
) -> None:
    """Print objects as rows, with one field per column."""
    rows = (tuple(entry[column] for column in columns) for entry in entries)
    print_table(title, columns, rows)


def print_line(text: str) -> None:
    """Print one line."""
    sys.stdout.write(f'{text}\n')


def report(answer: Answer, *, as_json: bool) -> ExitCode:
    """Print the answer if it is a refusal; return the exit code."""
    if answer.is_success:
        return ExitCode.DONE
    if as_json:
        print_json(answer.document)
    else:
        _print_refusal(answer.document)
    if answer.status == HTTP_UNAUTHORIZED:
        return ExitCode.CREDENTIAL
    return ExitCode.REFUSED


def show(
    answer: Answer,
    *,
    as_json: bool,
    display: Callable[[Any], None],
) -> ExitCode:
    """Print an answer as JSON or with ``display``, or its refusal.

    :param display: prints the document of a successful answer
    """
    code = report(answer, as_json=as_json)
    if code is ExitCode.DONE:
        printer = print_json if as_json else display
        printer(answer.document)
    return code


def _print_refusal(document: dict[str, Any]) -> None:
    match document:
        case {'verdict': 'invalid', 'defects': defects}:
            found = tuple(Defect(**defect) for defect in defects)
            print_defects('Rejected; no change was applied', found)
        case {'verdict': 'conflict', 'winner': '', 'current': current}:
            _warn(f'Rejected: the newest version is {current}.')
        case {'verdict': 'conflict', 'winner': winner, 'current': current}:
            _warn(
                f'Rejected: patch {winner} by {document["operator"]} won '
                f'against version {document["against"]}; '
                f'the newest version is {current}.',
            )
        case {'verdict': 'reused', 'patch': patch}:
            _warn(f'Rejected: another patch has the id {patch}.')
        case {'text': text, 'step': step, 'peer': peer}:
            _warn(f'Refused by {peer} at {step}: {text}')


def _warn(text: str) -> None:
    sys.stderr.write(f'{text}\n')


def _cell(part: Any) -> str:
    match part:
        case None:
            return '-'
        case bool():
            return 'yes' if part else 'no'
        case list():
            return ', '.join(str(entry) for entry in part)
        case dict():
            return json.dumps(part)
    return str(part)

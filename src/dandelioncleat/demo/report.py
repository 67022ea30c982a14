"""Prints events as they happen, and the summary table."""

import asyncio
from collections.abc import Iterable

from rich.console import Console
from rich.table import Table

from dandelioncleat.demo.totals import OrganisationSummary

COLUMNS = (
    '',
    'budget',
    'granted',
    'spent',
    'left',
    'stranded',
    'over-\nspend',
    'false\nrefusals',
    'double\nruns',
)


class Report:
    """Prints lines with the elapsed time and collects violations."""

    def __init__(self, console: Console) -> None:
        """Take the console to print on."""
        self.violations: list[str] = []
        self._console = console
        self._started_at = _now()

    def heading(self, title: str) -> None:
        """Print a heading."""
        self._console.rule(f'[bold]{title}', align='left')

    def event(self, text: str) -> None:
        """Print an event with the elapsed time."""
        elapsed_s = round(_now() - self._started_at, 2)
        self._console.print(f'[dim]{elapsed_s} s[/]  {text}')

    def check(self, passed: bool, guarantee: str) -> None:
        """Print whether a guarantee was kept, and record a violation."""
        if not passed:
            self.violations.append(guarantee)
        mark = '[green]kept[/]  ' if passed else '[bold red]BROKEN[/]'
        self.event(f'{mark}  {guarantee}')

    def print_summary(self, summaries: Iterable[OrganisationSummary]) -> None:
        """Print the summary table and the violations."""
        table = Table(title='Tokens by organisation', padding=(0, 0))
        for column in COLUMNS:
            table.add_column(column, justify='right', no_wrap=True)
        table.columns[0].justify = 'left'
        for summary in summaries:
            table.add_row(summary[0], *(f'{cell:,}' for cell in summary[1:]))
        self._console.print(table)
        if not self.violations:
            self._console.print('[bold green]Every guarantee was kept.')
        for violation in self.violations:
            self._console.print(f'[bold red]Broken:[/] {violation}')


def _now() -> float:
    return asyncio.get_running_loop().time()

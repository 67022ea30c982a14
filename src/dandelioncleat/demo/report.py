"""Prints what happens as it happens, and the closing table."""

import asyncio
from collections.abc import Iterable

from rich.console import Console
from rich.table import Table

from dandelioncleat.demo.account import OrganisationAccount

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
    """Prints lines with the time since the start, and keeps breaches."""

    def __init__(self, console: Console) -> None:
        """Take the console to print on."""
        self.breaches: list[str] = []
        self._console = console
        self._started_at = _now()

    def scene(self, title: str) -> None:
        """Print the start of a scene."""
        self._console.rule(f'[bold]{title}', align='left')

    def event(self, text: str) -> None:
        """Print something that happened."""
        elapsed_s = round(_now() - self._started_at, 2)
        self._console.print(f'[dim]{elapsed_s} s[/]  {text}')

    def check(self, kept: bool, promise: str) -> None:
        """Print whether a promise was kept, and remember a breach."""
        if not kept:
            self.breaches.append(promise)
        mark = '[green]kept[/]  ' if kept else '[bold red]BROKEN[/]'
        self.event(f'{mark}  {promise}')

    def close(self, accounts: Iterable[OrganisationAccount]) -> None:
        """Print the closing table and the breaches."""
        table = Table(title='Tokens by organisation', padding=(0, 0))
        for column in COLUMNS:
            table.add_column(column, justify='right', no_wrap=True)
        table.columns[0].justify = 'left'
        for account in accounts:
            table.add_row(account[0], *(f'{cell:,}' for cell in account[1:]))
        self._console.print(table)
        if not self.breaches:
            self._console.print('[bold green]Every promise was kept.')
        for breach in self.breaches:
            self._console.print(f'[bold red]Broken:[/] {breach}')


def _now() -> float:
    return asyncio.get_running_loop().time()

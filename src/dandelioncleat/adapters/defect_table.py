"""Prints the errors of a document on the terminal."""

from rich.console import Console
from rich.table import Table

from dandelioncleat.core.defect import Defect


def print_defects(title: str, defects: tuple[Defect, ...]) -> None:
    """Print errors as a table on standard error."""
    table = Table('key', 'value', 'expected', title=title)
    for defect in defects:
        table.add_row(*(str(part) for part in defect))
    console = Console(stderr=True, markup=False)
    console.print(table)

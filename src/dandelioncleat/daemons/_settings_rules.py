"""Rules between the keys of a settings file."""

from typing import Any

from dandelioncleat.core.defect import Defect


def fleet_secret_defects(fleet: dict[str, Any]) -> tuple[Defect, ...]:
    """Check that exactly one of the two secret keys is set."""
    stated = [key for key in ('secret', 'secret_file') if key in fleet]
    if len(stated) == 1:
        return ()
    found = 'both' if stated else '(missing)'
    return (Defect('fleet.secret', found, 'secret or secret_file'),)

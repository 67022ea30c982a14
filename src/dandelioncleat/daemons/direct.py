"""The process of a direct router: ``python -m dandelioncleat.daemons.direct``.

Exit codes: 0 after a planned stop, 1 if something was lost or the settings
have errors.
"""

import sys

from dandelioncleat.daemons.early_signals import ignore_reloads

if __name__ == '__main__':
    # Importing the rest takes some tenths of a second.
    ignore_reloads()

from dandelioncleat.adapters.listening import new_listener
from dandelioncleat.adapters.telemetry import OtelTelemetry
from dandelioncleat.daemons.direct_process import (
    Program,
    run_from_command_line,
)
from dandelioncleat.daemons.direct_router import DirectRouter, Sockets
from dandelioncleat.daemons.direct_settings import (
    DirectSettings,
    load_direct_settings,
)
from dandelioncleat.platform.status_page import StatusPage

ROLE = 'direct-router'


def new_program() -> Program[DirectSettings]:
    """Return the program of a direct router."""
    return Program(ROLE, load_direct_settings, _new_router)


def main() -> int:
    """Run a direct router; return the exit code."""
    return run_from_command_line(new_program())


def _new_router(
    settings: DirectSettings, telemetry: OtelTelemetry
) -> DirectRouter:
    listen = settings.listen
    addresses = (listen.callers, listen.ready, listen.metrics)
    return DirectRouter(
        settings,
        sockets=Sockets(*(new_listener(address) for address in addresses)),
        telemetry=telemetry,
        status_page=StatusPage(telemetry.metrics_page),
    )


if __name__ == '__main__':
    sys.exit(main())

"""The process of a gateway: ``python -m dandelioncleat.daemons.gateway``.

It runs next to a target and forwards calls to the store for routers that
cannot reach it. Exit codes: 0 after a planned stop, 1 if something was lost
or the settings have errors.
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
from dandelioncleat.daemons.direct_settings import (
    GatewaySettings,
    load_gateway_settings,
)
from dandelioncleat.daemons.store_gateway import GatewaySockets, StoreGateway
from dandelioncleat.platform.status_page import StatusPage

ROLE = 'gateway'


def new_program() -> Program[GatewaySettings]:
    """Return the program of a gateway."""
    return Program(ROLE, load_gateway_settings, _new_gateway)


def main() -> int:
    """Run a gateway; return the exit code."""
    return run_from_command_line(new_program())


def _new_gateway(
    settings: GatewaySettings, telemetry: OtelTelemetry
) -> StoreGateway:
    listen = settings.listen
    return StoreGateway(
        settings,
        sockets=GatewaySockets(
            new_listener(listen.routers), new_listener(listen.metrics)
        ),
        telemetry=telemetry,
        status_page=StatusPage(telemetry.metrics_page),
    )


if __name__ == '__main__':
    sys.exit(main())

"""The process of a direct router: ``python -m dandelioncleat.daemons.direct``.

Exit codes: 0 after a planned stop, 1 if something was lost or the settings
have errors.
"""

import argparse
import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

import structlog
from returns.pipeline import is_successful

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.adapters.log_writer import LogWriter
from dandelioncleat.adapters.telemetry import new_telemetry
from dandelioncleat.daemons.direct_router import DirectRouter, Sockets
from dandelioncleat.daemons.direct_settings import (
    DirectSettings,
    load_direct_settings,
)
from dandelioncleat.daemons.supervision import StopSignals, supervise
from dandelioncleat.platform.names import SETTINGS_VARIABLE
from dandelioncleat.platform.status_page import StatusPage

ROLE = 'direct-router'
EXIT_ERRORS = 1
LOG_CLOSE_S = 0.2
BACKLOG = 1024

_logger = structlog.get_logger(__name__)


def main() -> int:
    """Run a direct router; return the exit code."""
    parser = argparse.ArgumentParser(prog=ROLE)
    parser.add_argument(
        '--settings',
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f'settings file; {SETTINGS_VARIABLE} names it otherwise',
    )
    path = parser.parse_args().settings
    if path is None:
        parser.error('no settings file')
    loaded = load_direct_settings(Path(path))
    if not is_successful(loaded):
        sys.stderr.write(f'{path}: {loaded.failure()}\n')
        return EXIT_ERRORS
    return asyncio.run(run_direct(loaded.unwrap(), path=Path(path)))


async def run_direct(settings: DirectSettings, *, path: Path) -> int:
    """Run a direct router until it is told to stop; return the exit code."""
    writer = LogWriter()
    configure_log_lines('json', stream=writer, role=ROLE, host=settings.host)
    telemetry = new_telemetry(role=ROLE, incarnation=settings.host)
    signals = StopSignals()
    signals.install()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, _reload, settings, path
    )
    sockets = _bind(settings)
    router = DirectRouter(
        settings,
        sockets=sockets,
        telemetry=telemetry,
        status_page=StatusPage(telemetry.metrics_page),
    )
    _logger.info('started', pid=os.getpid(), settings=str(path))
    try:
        return await supervise(router, signals, limit_s=settings.stop.limit_s)
    finally:
        writer.close(limit_s=LOG_CLOSE_S)


def _bind(settings: DirectSettings) -> Sockets:
    listen = settings.listen
    addresses = (listen.callers, listen.ready, listen.metrics)
    return Sockets(*(_new_listener(address) for address in addresses))


def _new_listener(address: str) -> socket.socket:
    ip, _, port = address.rpartition(':')
    return socket.create_server((ip, int(port)), backlog=BACKLOG)


def _reload(settings: DirectSettings, path: Path) -> None:
    """Check the settings file anew; addresses hold until the next start."""
    loaded = load_direct_settings(path)
    if not is_successful(loaded):
        _logger.error('settings rejected', reason=loaded.failure())
        return
    is_changed = loaded.unwrap() != settings
    _logger.info('settings read again', changed=is_changed)


if __name__ == '__main__':
    sys.exit(main())

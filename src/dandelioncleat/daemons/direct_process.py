"""Runs a daemon on the platform: its settings, logs and signals.

Exit codes: 0 after a planned stop, 1 if something was lost or the settings
have errors.
"""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Generic, NamedTuple, Protocol, TypeVar

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.adapters.log_writer import LogWriter
from dandelioncleat.adapters.telemetry import OtelTelemetry, new_telemetry
from dandelioncleat.daemons.settings_watch import SettingsWatch
from dandelioncleat.daemons.supervision import Daemon, StopSignals, supervise
from dandelioncleat.platform.names import SETTINGS_VARIABLE

EXIT_ERRORS = 1
LOG_CLOSE_S = 0.2

_logger = structlog.get_logger(__name__)


class HostSettings(Protocol):
    """Settings that every process has."""

    @property
    def host(self) -> str:
        """Return the name of the host."""

    @property
    def stop_limit_s(self) -> float:
        """Return the time that a planned stop may take, in seconds."""


SettingsT = TypeVar('SettingsT', bound=HostSettings)


SettingsT_contra = TypeVar('SettingsT_contra', contravariant=True)


class ReloadableDaemon(Daemon, Protocol[SettingsT_contra]):
    """A daemon that accepts new settings while it runs."""

    def reload(self, settings: SettingsT_contra) -> None:
        """Apply new settings; addresses change at the next start only."""


class Program(NamedTuple, Generic[SettingsT]):
    """A role, its settings loader and its daemon factory."""

    role: str
    load: Callable[[Path], Result[SettingsT, str]]
    new_daemon: Callable[
        [SettingsT, OtelTelemetry], ReloadableDaemon[SettingsT]
    ]


def run_from_command_line(program: Program[SettingsT]) -> int:
    """Run a program with the settings that its arguments name."""
    return run_program(program, _settings_path(program.role))


def run_program(program: Program[SettingsT], path: Path) -> int:
    """Run a program with a settings file; return the exit code."""
    loaded = program.load(path)
    if not is_successful(loaded):
        sys.stderr.write(f'{path}: {loaded.failure()}\n')
        return EXIT_ERRORS
    return asyncio.run(_run(program, loaded.unwrap(), path))


def _settings_path(role: str) -> Path:
    parser = argparse.ArgumentParser(prog=role)
    parser.add_argument(
        '--settings',
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f'settings file; or ${SETTINGS_VARIABLE}',
    )
    path = parser.parse_args().settings
    if path is None:
        parser.error('no settings file')
    return Path(path)


async def _run(
    program: Program[SettingsT], settings: SettingsT, path: Path
) -> int:
    writer = LogWriter()
    configure_log_lines(
        'json', stream=writer, role=program.role, host=settings.host
    )
    telemetry = new_telemetry(role=program.role, incarnation=settings.host)
    signals = StopSignals()
    signals.install()
    daemon = program.new_daemon(settings, telemetry)
    watch = SettingsWatch(
        path, settings, load=program.load, on_change=daemon.reload
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watch.check)
    watching = asyncio.create_task(watch.run())
    _logger.info('started', pid=os.getpid(), settings=str(path))
    try:
        return await supervise(daemon, signals, limit_s=settings.stop_limit_s)
    finally:
        watching.cancel()
        _end(signals, writer)


def _end(signals: StopSignals, writer: LogWriter) -> None:
    signals.ignore()
    writer.close(limit_s=LOG_CLOSE_S)

"""Runs a daemon as a process: incarnation, telemetry and signals."""

import asyncio
from typing import Protocol, TypeVar

from dandelioncleat.adapters.log_lines import configure_log_lines
from dandelioncleat.adapters.otlp import new_exporters
from dandelioncleat.adapters.telemetry import OtelTelemetry, new_telemetry
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.daemons.incarnation import new_incarnation
from dandelioncleat.daemons.settings import Settings
from dandelioncleat.daemons.supervision import (
    Daemon,
    StopSignals,
    supervise,
)

SettingsT_contra = TypeVar(
    'SettingsT_contra',
    bound=Settings,
    contravariant=True,
)


class NewDaemon(Protocol[SettingsT_contra]):
    """Creates the daemon of a role; needs a running event loop."""

    def __call__(
        self,
        settings: SettingsT_contra,
        *,
        telemetry: OtelTelemetry,
        incarnation: Incarnation,
    ) -> Daemon:
        """Return a daemon that is not running yet."""


async def run_process(
    settings: SettingsT_contra,
    *,
    role: str,
    new_daemon: NewDaemon[SettingsT_contra],
) -> int:
    """Run a daemon until a stop signal; return the exit code."""
    incarnation = new_incarnation(settings.host)
    exporters = new_exporters(settings.telemetry.otlp_endpoint)
    telemetry = new_telemetry(
        role=role,
        incarnation=incarnation,
        metric_readers=exporters.metric_readers,
        span_processors=exporters.span_processors,
    )
    configure_log_lines(
        settings.telemetry.logs,
        role=role,
        incarnation=incarnation,
    )
    signals = StopSignals()
    signals.install()
    daemon = new_daemon(
        settings,
        telemetry=telemetry,
        incarnation=incarnation,
    )
    try:
        return await supervise(daemon, signals, limit_s=settings.stop.limit_s)
    finally:
        await asyncio.to_thread(telemetry.stop)

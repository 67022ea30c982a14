"""Runs a daemon until a signal asks it to stop."""

import asyncio
import signal
from typing import Any, Protocol

import structlog

EXIT_LOSSES = 1
# Daemons on the platform also handle SIGHUP.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_logger = structlog.get_logger(__name__)


class Daemon(Protocol):
    """A process that runs until it has stopped."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def stop(self, *, limit_s: float) -> str:
        """Stop as planned; return what was lost, if anything.

        :param limit_s: time after which the rest is abandoned, in seconds
        """

    def losses(self) -> str:
        """Return what would be lost if the process ended now."""

    async def close(self) -> None:
        """Close every socket."""


class StopSignals:
    """Turns signals into events.

    SIGTERM asks for a planned stop, and may be repeated. An operator who
    interrupts the process at a terminal may hurry it by a second interrupt.
    """

    def __init__(self) -> None:
        """Start with no signal received."""
        self.stop = asyncio.Event()
        self.force_stop = asyncio.Event()
        self._is_interrupted = False

    def terminate(self) -> None:
        """Handle SIGTERM; another one changes nothing."""
        self.stop.set()

    def receive(self) -> None:
        """Handle an interrupt; a second one forces the stop."""
        if self._is_interrupted:
            self.force_stop.set()
        self._is_interrupted = True
        self.stop.set()

    def install(self) -> None:
        """Install handlers for the process's stop signals."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.receive)

    def ignore(self) -> None:
        """Ignore signals from now on, as the process has stopped.

        One that came while the interpreter exits would end it as if it had been
        killed.
        """
        loop = asyncio.get_running_loop()
        for number in HANDLED_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


async def supervise(
    daemon: Daemon,
    signals: StopSignals,
    *,
    limit_s: float,
) -> int:
    """Run a daemon, stop it as planned and return the exit code.

    :param limit_s: time that a planned stop may take, in seconds
    """
    running = asyncio.ensure_future(daemon.run())
    stop_requested = asyncio.ensure_future(signals.stop.wait())
    try:
        await asyncio.wait(
            (running, stop_requested),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if running.done():
            running.result()
        _logger.info('stopping', limit_s=limit_s)
        lost = await _stop(daemon, signals, limit_s)
    finally:
        await _cancel(stop_requested, running)
        await daemon.close()
    _logger.info('stopped', lost=lost)
    return EXIT_LOSSES if lost else 0


async def _cancel(*tasks: asyncio.Future[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _stop(daemon: Daemon, signals: StopSignals, limit_s: float) -> str:
    stopping = asyncio.ensure_future(daemon.stop(limit_s=limit_s))
    forced = asyncio.ensure_future(signals.force_stop.wait())
    await asyncio.wait(
        (stopping, forced),
        return_when=asyncio.FIRST_COMPLETED,
    )
    forced.cancel()
    if stopping.done():
        return stopping.result()
    lost = daemon.losses()
    await _cancel(stopping)
    return lost

"""Tests of the signals that stop a daemon."""

import asyncio
import os
import signal

import testtools

from dandelioncleat.daemons.supervision import (
    HANDLED_SIGNALS,
    StopSignals,
    supervise,
)

LIMIT_S = 10
# Turns of the event loop in which a signal has taken effect.
TURNS = 20


class WaitingDaemon:
    """A daemon whose planned stop ends when the test says so."""

    def __init__(self):
        """Start with an open request."""
        self.is_stopping = asyncio.Event()
        self.may_end = asyncio.Event()
        self.was_cut = False
        self.is_closed = False

    async def run(self):
        """Run until cancelled."""
        await asyncio.Event().wait()

    async def stop(self, *, limit_s):
        """Wait for the test; note whether the wait was cut."""
        self.is_stopping.set()
        try:
            await self.may_end.wait()
        except asyncio.CancelledError:
            self.was_cut = True
            raise
        return ''

    def losses(self):
        """Return what a forced stop loses."""
        return 'an open request'

    async def close(self):
        """Note the end."""
        self.is_closed = True


async def stopped_by(*numbers):
    """Send signals to a daemon; return it and its exit code.

    The code is ``None`` if the daemon still waited after the signals; its stop
    is finished then.
    """
    daemon = WaitingDaemon()
    signals = StopSignals()
    signals.install()
    ended = asyncio.create_task(supervise(daemon, signals, limit_s=LIMIT_S))
    for number in numbers:
        os.kill(os.getpid(), number)
        async with asyncio.timeout(LIMIT_S):
            await daemon.is_stopping.wait()
        for _ in range(TURNS):
            await asyncio.sleep(0)
    code = ended.result() if ended.done() else None
    daemon.may_end.set()
    await ended
    return daemon, code


class RepeatedSignalTest(testtools.TestCase):
    """Only an operator's second interrupt hurries a planned stop."""

    def _assert_waits(self, *numbers):
        daemon, code = asyncio.run(stopped_by(*numbers))
        self.assertIsNone(code)
        self.assertFalse(daemon.was_cut)
        self.assertTrue(daemon.is_closed)

    def test_sigterm_may_be_repeated(self):
        self._assert_waits(signal.SIGTERM, signal.SIGTERM, signal.SIGTERM)

    def test_one_interrupt_beside_sigterm_does_not_hurry(self):
        self._assert_waits(signal.SIGTERM, signal.SIGINT, signal.SIGTERM)

    def test_second_interrupt_forces_the_stop(self):
        daemon, code = asyncio.run(stopped_by(signal.SIGINT, signal.SIGINT))
        self.assertEqual(1, code)
        self.assertTrue(daemon.was_cut)
        self.assertTrue(daemon.is_closed)


class EndOfProcessTest(testtools.TestCase):
    """A signal after the stop does not count as the cause of the exit."""

    def test_signal_after_the_stop_kills_the_process(self):
        for number in HANDLED_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

        async def stop_and_be_told_again():
            signals = StopSignals()
            signals.install()
            signals.ignore()

        asyncio.run(stop_and_be_told_again())
        for number in HANDLED_SIGNALS:
            os.kill(os.getpid(), number)
            self.assertEqual(signal.SIG_IGN, signal.getsignal(number))

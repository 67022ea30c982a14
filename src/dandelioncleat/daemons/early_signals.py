"""Signals that come before a process can handle them."""

import signal


def ignore_reloads() -> None:
    """Ignore a request to read the settings again.

    It would end a process that still imports its modules. The settings are
    read after that, so nothing is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

"""Captures log lines, and undoes what a test configures of the log."""

import logging
from contextlib import contextmanager

import structlog
from structlog.testing import capture_logs


@contextmanager
def captured_lines():
    """Collect the lines of every level that are logged in the block."""
    configuration = structlog.get_config()
    structlog.reset_defaults()
    try:
        with capture_logs() as lines:
            yield lines
    finally:
        structlog.configure(**configuration)


def restore_log(case):
    """Undo at the end of a test case what it configures of the log.

    A handler that is left behind passes the errors of libraries to structlog's
    default renderer, which takes seconds to draw one with all its variables.
    """
    root = logging.getLogger()
    case.addCleanup(setattr, root, 'handlers', list(root.handlers))
    case.addCleanup(root.setLevel, root.level)
    case.addCleanup(structlog.reset_defaults)
    case.addCleanup(structlog.contextvars.clear_contextvars)

"""Captures log lines, whatever other tests have configured."""

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

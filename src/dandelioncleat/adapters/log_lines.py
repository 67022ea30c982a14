"""Configures the log of a process: JSON or console lines."""

import logging
import sys
from typing import Literal, Protocol, TextIO, cast

import structlog
from structlog.typing import Processor

LineFormat = Literal['json', 'console']


class LineStream(Protocol):
    """A stream that log lines are written to."""

    def write(self, text: str, /) -> object:
        """Write text."""

    def flush(self) -> None:
        """Flush written text."""


def configure_log_lines(
    line_format: LineFormat,
    *,
    stream: LineStream | None = None,
    level: int = logging.INFO,
    **context: str,
) -> None:
    """Configure structlog for the process.

    :param stream: where the lines go, standard error by default
    :param context: fields that every line carries
    """
    _redirect_library_logs()
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**context)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _renderer(line_format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(
            cast(TextIO, stream or sys.stderr),
        ),
        cache_logger_on_first_use=False,
    )


def _renderer(line_format: LineFormat) -> Processor:
    if line_format == 'json':
        return structlog.processors.JSONRenderer()
    return structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard ``logging`` module to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as a line of the process."""
        structlog.get_logger(record.name).log(
            record.levelno, record.getMessage(), exc_info=record.exc_info
        )


def _redirect_library_logs() -> None:
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(logging.WARNING)

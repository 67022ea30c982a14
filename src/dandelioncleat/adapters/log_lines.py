"""Sets up the log lines of a process: JSON for machines or a console."""

import logging
import sys
from typing import Literal, Protocol, TextIO, cast

import structlog
from structlog.typing import Processor

LineFormat = Literal['json', 'console']


class LineStream(Protocol):
    """Takes the text of log lines."""

    def write(self, text: str, /) -> object:
        """Take text."""

    def flush(self) -> None:
        """Pass on what was taken."""


def configure_log_lines(
    line_format: LineFormat,
    *,
    stream: LineStream | None = None,
    level: int = logging.INFO,
    **context: str,
) -> None:
    """Set up structlog for the whole process.

    :param stream: where the lines go, standard error by default
    :param context: fields that every line carries
    """
    _take_library_lines()
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
    """Passes on what libraries log by the standard module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as a line of the process."""
        structlog.get_logger(record.name).log(
            record.levelno, record.getMessage(), exc_info=record.exc_info
        )


def _take_library_lines() -> None:
    root = logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(logging.WARNING)

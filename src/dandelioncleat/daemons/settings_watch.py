"""Reloads a settings file when it changes or on a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import structlog
from returns.pipeline import is_successful
from returns.result import Result

CHECK_INTERVAL_S = 1.0

SettingsT = TypeVar('SettingsT')

_logger = structlog.get_logger(__name__)


class SettingsWatch(Generic[SettingsT]):
    """Reloads the settings file when it has changed."""

    def __init__(
        self,
        path: Path,
        settings: SettingsT,
        *,
        load: Callable[[Path], Result[SettingsT, str]],
        on_change: Callable[[SettingsT], None],
    ) -> None:
        """Take the file and the settings that were read from it.

        :param on_change: called with valid settings that differ
        """
        self._path = path
        self._settings = settings
        self._load = load
        self._on_change = on_change
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.is_stale():
                self.check()

    def is_stale(self) -> bool:
        """Return whether the file has changed since it was read."""
        return self._read_stamp() != self._stamp

    def check(self) -> None:
        """Reload the file; settings with errors are ignored."""
        self._stamp = self._read_stamp()
        loaded = self._load(self._path)
        if not is_successful(loaded):
            _logger.error('settings rejected', reason=loaded.failure())
            return
        settings = loaded.unwrap()
        is_changed = settings != self._settings
        _logger.info('settings read again', changed=is_changed)
        if is_changed:
            self._settings = settings
            self._on_change(settings)

    def _read_stamp(self) -> tuple[int, int] | None:
        """Return the modification time and size, None on an error."""
        try:
            status = self._path.stat()
        except OSError as error:
            _logger.debug('cannot stat the settings file', reason=str(error))
            return None
        return (status.st_mtime_ns, status.st_size)

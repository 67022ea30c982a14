"""Settings of the direct router: a TOML file, checked as a whole."""

from pathlib import Path

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success


class DirectListen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where the router listens, as ``ip:port``."""

    callers: str
    ready: str
    metrics: str


class DirectRetries(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Bounds what the fleet sends again, in any window of ``window_s``."""

    ratio: float
    slack: float
    window_s: float


class DirectStop(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How long a planned stop may take, in seconds."""

    limit_s: float


class DirectSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a direct router.

    ``store`` is the address of the platform's store, as ``ip:port``.
    """

    host: str
    data_centre: str
    store: str
    listen: DirectListen
    retries: DirectRetries
    stop: DirectStop


def load_direct_settings(path: Path) -> Result[DirectSettings, str]:
    """Read a settings file, or return what is wrong with it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failed(f'{path}: {error.strerror}')
    return parse_direct_settings(text)


def parse_direct_settings(text: bytes) -> Result[DirectSettings, str]:
    """Return the settings that a file's text states, or what is wrong."""
    try:
        settings = msgspec.toml.decode(text, type=DirectSettings)
    except (msgspec.DecodeError, ValueError) as error:
        return Failed(str(error))
    defects = tuple(_defects(settings))
    return Failed('; '.join(defects)) if defects else Success(settings)


def _defects(settings: DirectSettings) -> list[str]:
    listen = settings.listen
    addresses = {
        'store': settings.store,
        'listen.callers': listen.callers,
        'listen.ready': listen.ready,
        'listen.metrics': listen.metrics,
    }
    defects = [
        f'{name}: an IP number and a port, not {address!r}'
        for name, address in addresses.items()
        if not _is_address(address)
    ]
    if settings.stop.limit_s <= 0:
        defects.append('stop.limit_s: a positive number of seconds')
    if settings.retries.window_s <= 0:
        defects.append('retries.window_s: a positive number of seconds')
    if min(settings.retries.ratio, settings.retries.slack) < 0:
        defects.append('retries: numbers that are not negative')
    return defects


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(':')
    return bool(ip) and port.isdecimal() and int(port) <= 65535

"""Settings of direct routers and gateways: TOML files, checked as a whole."""

from collections.abc import Callable, Mapping
from math import inf
from pathlib import Path
from typing import TypeVar

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.address import is_address
from dandelioncleat.core.held_bytes import DEFAULT_MEMORY_MB
from dandelioncleat.daemons.process_limits import (
    DEFAULT_MAX_FDS,
    FILE_DESCRIPTORS,
    connection_limit,
)

# Traffic that a router's core handles: a prompt of some 10 kB comes in and goes
# out again, and its answer, too.
LINK_MBPS_PER_CORE = 30.0


class DirectListen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where the router listens, as ``ip:port``."""

    callers: str
    ready: str
    metrics: str


class DirectRetries(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits the fleet's retries in any window of ``window_s``."""

    ratio: float
    slack: float
    window_s: float


class DirectHedging(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many idempotent requests of a service may go to two targets.

    ``share`` is the part of all requests in any ten seconds, 0 for none.
    """

    share: float = 0


class DirectStop(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How long a planned stop may take, in seconds."""

    limit_s: float


class DirectSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a direct router.

    ``store`` is the address of the platform's store, ``gateways`` are the
    addresses of some gateways to it, as ``ip:port``; the store lists the
    others. ``store_copy_age_s`` is the maximum age of a copy from which the
    store may be restored, in seconds. ``cores`` is the processor time that the
    process may use on each of ``processors``, in cores, ``memory_mb`` the
    memory, in MiB, ``link_mbps`` what the host's link carries, in Mbit/s.
    ``max_fds`` is how many descriptors the process may have.
    """

    host: str
    data_centre: str
    store: str
    listen: DirectListen
    retries: DirectRetries
    stop: DirectStop
    gateways: tuple[str, ...] = ()
    fleet_secret: str = ''
    store_copy_age_s: float = 8.0
    cores: float = 1.0
    processors: float = 1.0
    link_mbps: float = inf
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    hedging: DirectHedging = DirectHedging()

    @property
    def stop_limit_s(self) -> float:
        """Return the time that a planned stop may take, in seconds."""
        return self.stop.limit_s

    @property
    def usable_cores(self) -> float:
        """Return the cores that the host's link can keep busy."""
        fed_cores = self.link_mbps / LINK_MBPS_PER_CORE
        return min(self.cores * self.processors, fed_cores)

    @property
    def caller_connections(self) -> int:
        """Return how many connections callers may keep open together."""
        return connection_limit(max_fds=self.max_fds, memory_mb=self.memory_mb)


class GatewayListen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where the gateway listens, as ``ip:port``."""

    routers: str
    metrics: str


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of a gateway to the platform's store.

    ``memory_mb`` is the memory that the process may use, in MiB, ``max_fds``
    how many descriptors it may have.
    """

    host: str
    data_centre: str
    store: str
    listen: GatewayListen
    stop: DirectStop
    fleet_secret: str = ''
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS

    @property
    def stop_limit_s(self) -> float:
        """Return the time that a planned stop may take, in seconds."""
        return self.stop.limit_s

    @property
    def router_connections(self) -> int:
        """Return how many connections routers may keep open together."""
        return connection_limit(max_fds=self.max_fds, memory_mb=self.memory_mb)


SettingsT = TypeVar('SettingsT', DirectSettings, GatewaySettings)


def load_direct_settings(path: Path) -> Result[DirectSettings, str]:
    """Read a router's settings file, or return what is wrong with it."""
    return _load(path, parse_direct_settings)


def load_gateway_settings(path: Path) -> Result[GatewaySettings, str]:
    """Read a gateway's settings file, or return what is wrong with it."""
    return _load(path, parse_gateway_settings)


def parse_direct_settings(text: bytes) -> Result[DirectSettings, str]:
    """Parse the text of a settings file, or return what is wrong."""
    return _parse(text, DirectSettings, _direct_defects)


def parse_gateway_settings(text: bytes) -> Result[GatewaySettings, str]:
    """Parse the text of a settings file, or return what is wrong."""
    return _parse(text, GatewaySettings, _gateway_defects)


def _load(
    path: Path, parse: Callable[[bytes], Result[SettingsT, str]]
) -> Result[SettingsT, str]:
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failed(f'{path}: {error.strerror}')
    return parse(text)


def _parse(
    text: bytes,
    kind: type[SettingsT],
    find_defects: Callable[[SettingsT], list[str]],
) -> Result[SettingsT, str]:
    try:
        settings = msgspec.toml.decode(text, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        return Failed(str(error))
    defects = find_defects(settings)
    return Failed('; '.join(defects)) if defects else Success(settings)


def _direct_defects(settings: DirectSettings) -> list[str]:
    listen = settings.listen
    defects = _address_defects(
        {
            'store': settings.store,
            'listen.callers': listen.callers,
            'listen.ready': listen.ready,
            'listen.metrics': listen.metrics,
            **{
                f'gateways.{n}': each
                for n, each in enumerate(settings.gateways)
            },
        }
    )
    defects.extend(_stop_defects(settings.stop))
    defects.extend(
        f'{name}: must be a positive number'
        for name in ('cores', 'processors', 'link_mbps', 'memory_mb')
        if not getattr(settings, name) > 0
    )
    if not 0 <= settings.hedging.share <= 1:
        defects.append('hedging.share: must be between 0 and 1')
    defects.extend(_descriptor_defects(settings.max_fds))
    if settings.store_copy_age_s < 0:
        defects.append('store_copy_age_s: must not be negative')
    if settings.retries.window_s <= 0:
        defects.append('retries.window_s: must be a positive number of seconds')
    if min(settings.retries.ratio, settings.retries.slack) < 0:
        defects.append('retries: numbers must not be negative')
    return defects


def _gateway_defects(settings: GatewaySettings) -> list[str]:
    defects = _address_defects(
        {
            'store': settings.store,
            'listen.routers': settings.listen.routers,
            'listen.metrics': settings.listen.metrics,
        }
    )
    defects.extend(_stop_defects(settings.stop))
    if not settings.memory_mb > 0:
        defects.append('memory_mb: must be a positive number')
    return [*defects, *_descriptor_defects(settings.max_fds)]


def _descriptor_defects(max_fds: int) -> list[str]:
    if max_fds > FILE_DESCRIPTORS:
        return []
    return [f'max_fds: must be more than {FILE_DESCRIPTORS}']


def _address_defects(addresses_by_name: Mapping[str, str]) -> list[str]:
    return [
        f'{name}: must be an IP address and a port, not {address!r}'
        for name, address in addresses_by_name.items()
        if not is_address(address)
    ]


def _stop_defects(stop: DirectStop) -> list[str]:
    if stop.limit_s > 0:
        return []
    return ['stop.limit_s: must be a positive number of seconds']

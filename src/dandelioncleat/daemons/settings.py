"""Settings of the daemons: TOML files, checked as a whole."""

import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    StringConstraints,
    ValidationError,
)
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.configuration import CredentialHash
from dandelioncleat.core.defect import Defect, defects_of
from dandelioncleat.core.held_bytes import DEFAULT_MEMORY_MB
from dandelioncleat.core.patch_body import KeyDigest, Name, Salt
from dandelioncleat.daemons._settings_rules import fleet_secret_defects
from dandelioncleat.daemons.process_limits import (
    DEFAULT_MAX_FDS,
    FILE_DESCRIPTORS,
    connection_limit,
)

STOP_LIMIT_S = 60.0
MAX_PORT = 65535


class Address(NamedTuple):
    """An IP address and a port; port 0 lets the system choose one."""

    ip: str
    port: int


def parse_address(text: str) -> Address:
    """Return the parts of ``ip:port`` or ``[ip]:port``."""
    ip, _, port = text.rpartition(':')
    ip = ip.removeprefix('[').removesuffix(']')
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError('an IP address and a port, such as 10.0.0.5:7070')
    try:
        ip_address(ip)
    except ValueError as error:
        raise ValueError('an IP address before the port') from error
    return Address(ip, int(port))


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


AddressText = Annotated[str, AfterValidator(_checked_address)]
Url = Annotated[str, StringConstraints(pattern=r'^https?://[^\s/]+(/\S*)?$')]
Secret = Annotated[SecretStr, Field(min_length=32)]
PositiveSeconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]


class _Table(BaseModel):
    """Base class that makes every table strict and immutable."""

    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)


class RouterListen(_Table):
    """Where a router listens; ``advertise`` is how others reach it."""

    callers: AddressText
    peers: AddressText
    advertise: AddressText | None = None


class SidecarListen(_Table):
    """Where a sidecar listens; ``advertise`` is how others reach it."""

    peers: AddressText
    advertise: AddressText | None = None


class Platform(_Table):
    """The services of the platform."""

    log_url: Url
    host_list_url: Url


class Fleet(_Table):
    """The secret that the processes of the fleet share."""

    secret: Secret | None = None
    secret_file: str | None = None


class BootstrapOperator(_Table):
    """Hash of the key that is valid until a patch adds an operator."""

    salt: Salt
    digest: KeyDigest


class Stop(_Table):
    """How long a planned stop may take."""

    limit_s: PositiveSeconds = STOP_LIMIT_S


class Limits(_Table):
    """What the process may use: memory in MiB, and descriptors."""

    memory_mb: Annotated[float, Field(gt=0, allow_inf_nan=False)] = (
        DEFAULT_MEMORY_MB
    )
    max_fds: Annotated[int, Field(gt=FILE_DESCRIPTORS)] = DEFAULT_MAX_FDS


class Telemetry(_Table):
    """Where traces and metrics go and how log lines look."""

    otlp_endpoint: Url | None = None
    logs: Literal['json', 'console'] = 'json'


class SidecarTarget(_Table):
    """The target beside a sidecar."""

    name: Name
    service: Name
    kind: Literal['model', 'plain']
    url: Url


class _Settings(_Table):
    """The settings that routers and sidecars have in common."""

    host: Name
    data_centre: Name
    platform: Platform
    fleet: Fleet
    stop: Stop = Stop()
    limits: Limits = Limits()
    telemetry: Telemetry = Telemetry()

    @property
    def most_connections(self) -> int:
        """Return how many connections one address may keep open."""
        return connection_limit(
            max_fds=self.limits.max_fds, memory_mb=self.limits.memory_mb
        )

    @property
    def fleet_secret(self) -> str:
        """Return the secret, from the settings or from its file."""
        secret = self.fleet.secret
        return '' if secret is None else secret.get_secret_value()


class RouterSettings(_Settings):
    """The settings of a router."""

    role: Literal['router']
    listen: RouterListen
    operator: BootstrapOperator | None = None

    @property
    def bootstrap_operator(self) -> CredentialHash | None:
        """Return the hash of the bootstrap key, if there is one."""
        if self.operator is None:
            return None
        return CredentialHash(self.operator.salt, self.operator.digest)


class SidecarSettings(_Settings):
    """The settings of a sidecar."""

    role: Literal['sidecar']
    listen: SidecarListen
    target: SidecarTarget


Settings = RouterSettings | SidecarSettings
SettingsResult = Result[Settings, tuple[Defect, ...]]

_SETTINGS_BY_ROLE: dict[str, type[RouterSettings] | type[SidecarSettings]] = {
    'router': RouterSettings,
    'sidecar': SidecarSettings,
}


def load_settings(path: Path) -> SettingsResult:
    """Read a settings file, or return every error in it.

    A relative ``fleet.secret_file`` is resolved against the directory of
    the settings file.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return Failed((Defect(str(path), str(error), 'a readable file'),))
    return parse_settings(text, directory=path.parent)


def parse_settings(text: bytes, *, directory: Path) -> SettingsResult:
    """Parse the text of a settings file, or return every error."""
    try:
        document = tomllib.loads(text.decode())
    except (ValueError, RecursionError) as error:
        return Failed((Defect('(file)', str(error), 'TOML in UTF-8'),))
    role = document.get('role')
    if not isinstance(role, str) or role not in _SETTINGS_BY_ROLE:
        return Failed((Defect('role', repr(role), "'router' or 'sidecar'"),))
    return _validate(_SETTINGS_BY_ROLE[role], document, directory)


def _validate(
    model: type[RouterSettings] | type[SidecarSettings],
    document: dict[str, Any],
    directory: Path,
) -> SettingsResult:
    defects = (
        *_fill_secret(document, directory),
        *_advertise_defects(document),
    )
    try:
        settings = model.model_validate(document)
    except ValidationError as error:
        return Failed((*defects_of(error), *defects))
    return Failed(defects) if defects else Success(settings)


def _fill_secret(
    document: dict[str, Any],
    directory: Path,
) -> tuple[Defect, ...]:
    fleet = document.get('fleet')
    if not isinstance(fleet, dict):
        return ()
    defects = fleet_secret_defects(fleet)
    name = fleet.get('secret_file')
    if defects or not isinstance(name, str):
        return defects
    try:
        fleet['secret'] = (directory / name).read_text().strip()
    except (OSError, ValueError) as error:
        reason = str(error)
        return (Defect('fleet.secret_file', reason, 'a readable file'),)
    return ()


def _advertise_defects(document: dict[str, Any]) -> tuple[Defect, ...]:
    listen = document.get('listen')
    if not isinstance(listen, dict) or 'advertise' in listen:
        return ()
    try:
        address = parse_address(str(listen.get('peers')))
    except ValueError:
        return ()
    if not ip_address(address.ip).is_unspecified:
        return ()
    expected = 'an address, as listen.peers is a wildcard address'
    return (Defect('listen.advertise', '(missing)', expected),)

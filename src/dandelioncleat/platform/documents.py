"""Decodes the operator's configuration and the target entries."""

import re
from typing import Annotated

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.address import is_dialable
from dandelioncleat.core.decoding import UnreadableError, decode_bytes
from dandelioncleat.core.deployment import (
    CallerLimits,
    CallKind,
    ColdStart,
    Deployment,
    Engine,
    Organisation,
    Route,
    RouteTable,
    Service,
    TargetEntry,
    WeightedService,
)
from dandelioncleat.platform.names import EVACUATION_PREFIX

_KINDS_BY_TYPE = {
    'idempotent': CallKind.IDEMPOTENT,
    'non_idempotent': CallKind.ONCE,
    'streaming': CallKind.STREAM,
}
_MS_PER_S = 1000
_DEFAULT_OBJECTIVE_MS = 1000
# What targets can't mean, or what can't be stored or sent.
MAX_SLOTS = 1_000_000
MAX_NUMBER = 2**63 - 1
MAX_NAME_LENGTH = 255
MAX_COLD_MS = 60_000.0
_ID = re.compile(f'[!-~]{{1,{MAX_NAME_LENGTH}}}')
_DRAINING_BY_STATE = {'ready': False, 'draining': True}


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, rename='camel'):
    """``backends`` splits requests by weight; else all go to ``service``."""

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = _DEFAULT_OBJECTIVE_MS
    priority: int = 0
    service: str | None = None
    backends: list[_Backend] = msgspec.field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename='camel'):
    """``stride`` is the maximum number of tokens in one stream event.

    ``link_mbps`` is the bandwidth between engines.
    """

    slots: int = 1
    kv_capacity: int = 0
    stride: int = 1
    kv_token_bytes: int = 0
    link_mbps: float = 0


class _Service(msgspec.Struct, rename='camel'):
    """``cold_start_s`` and ``cold_per_s`` are 0 if targets don't start cold."""

    name: str
    health_path: str = '/health'
    max_connections: int = 0
    engine: _Engine | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Tenant(msgspec.Struct, rename='camel'):
    """``prepaid`` counts all tokens ever paid for, not the remaining ones."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    prepaid: int | None = None


class _Limits(msgspec.Struct, rename='camel'):
    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = msgspec.field(default_factory=list)


_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Server(msgspec.Struct, rename='camel'):
    """A target's entry.

    ``born`` is the start time, which tells restarts of a target apart;
    ``version`` is the version of its software, ``sequence`` the number of the
    entry among those of its start. ``cold_ms`` is how much longer it is cold.
    """

    service: _Name
    address: str
    zone: _Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    version: _Name
    cold_ms: _Milliseconds
    sequence: _Number
    born: _Number = 0


class _Evacuation(msgspec.Struct):
    """The value of an evacuation, whose key says everything."""


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)
_OBJECT_DECODER = msgspec.json.Decoder(_Evacuation)


def decode_deployment(data: bytes) -> Result[Deployment, str]:
    """Return the configuration in a record, or the decoding error."""
    try:
        config = _decode_config(data)
        routes = [_route(route) for route in config.routes]
    except (UnreadableError, KeyError) as error:
        return Failed(f'{type(error).__name__}: {error}')
    organisations = [_organisation(tenant) for tenant in config.tenants]
    return Success(
        Deployment(
            version=config.version,
            routes=RouteTable(routes),
            services_by_name={
                service.name: _service(service) for service in config.services
            },
            organisations_by_name={each.name: each for each in organisations},
            organisations_by_key=_organisations_by_key(
                config.tenants, organisations
            ),
            limits=_limits(config.limits),
        )
    )


def decode_target(key: str, data: bytes) -> TargetEntry | None:
    """Return the target of an entry, ``None`` if the entry is unusable."""
    try:
        server = decode_bytes(_SERVER_DECODER.decode, data)
    except UnreadableError:
        return None
    is_draining = _DRAINING_BY_STATE.get(server.state)
    if is_draining is None or not is_dialable(server.address):
        return None
    if _ID.fullmatch(key) is None:
        # It could not be sent in a header.
        return None
    return TargetEntry(
        id=key,
        service=server.service,
        address=server.address,
        data_centre=server.zone,
        slots=server.slots,
        is_draining=is_draining,
        started_at=server.born,
        software_version=server.version,
        sequence=server.sequence,
        cold_s=min(server.cold_ms, MAX_COLD_MS) / _MS_PER_S,
    )


def decode_evacuation(key: str, data: bytes) -> str | None:
    """Return the data centre that an entry evacuates.

    ``None`` if its key names none, or if its value is no JSON object.
    """
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if not 0 < len(data_centre) <= MAX_NAME_LENGTH:
        return None
    try:
        decode_bytes(_OBJECT_DECODER.decode, data)
    except UnreadableError:
        return None
    return data_centre


def _decode_config(data: bytes) -> _Config:
    """Return the operator's document, read leniently if it has to be.

    :raises UnreadableError: if it can't be read
    """
    try:
        return decode_bytes(_CONFIG_DECODER.decode, data)
    except UnreadableError:
        return decode_bytes(_read_leniently, data)


def _read_leniently(data: bytes) -> _Config:
    """Read a document with nulls for defaults, or with 3.0 for 3."""
    document = _without_nulls(msgspec.json.decode(data))
    return msgspec.convert(document, _Config, strict=False)


def _without_nulls(document: object) -> object:
    match document:
        case dict():
            return {
                key: _without_nulls(member)
                for key, member in document.items()
                if member is not None
            }
        case list():
            return [_without_nulls(member) for member in document]
        case _:
            return document


def _route(route: _Route) -> Route:
    if route.backends:
        shares = tuple(
            WeightedService(each.service, max(0, each.weight))
            for each in route.backends
        )
    else:
        shares = (WeightedService(route.service or '', 1),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=_KINDS_BY_TYPE[route.type],
        shares=shares,
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.slo_ms / _MS_PER_S,
        priority=route.priority,
        attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=None if engine is None else _engine(engine),
        cold_start=_cold_start(service),
    )


def _engine(engine: _Engine) -> Engine:
    return Engine(
        engine.slots,
        engine.kv_capacity,
        engine.stride,
        token_bytes=engine.kv_token_bytes,
        link_mbps=engine.link_mbps,
    )


def _cold_start(service: _Service) -> ColdStart | None:
    if service.cold_start_s <= 0 or service.cold_per_s <= 0:
        return None
    return ColdStart(service.cold_start_s, service.cold_per_s)


def _organisation(tenant: _Tenant) -> Organisation:
    return Organisation(tenant.name, tenant.priority, tenant.prepaid)


def _organisations_by_key(
    tenants: list[_Tenant], organisations: list[Organisation]
) -> dict[str, Organisation]:
    by_key: dict[str, Organisation] = {}
    for tenant, organisation in zip(tenants, organisations, strict=True):
        by_key.update(dict.fromkeys(tenant.api_keys, organisation))
    return by_key


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_s=limits.header_ms / _MS_PER_S,
        idle_s=limits.idle_ms / _MS_PER_S,
    )

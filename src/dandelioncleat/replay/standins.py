"""The stand-ins of a trace's targets."""

from typing import NamedTuple

from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.ports.target import TargetClient
from dandelioncleat.replay.trace import Deployment
from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.memory_target import (
    MemoryModelTarget,
    MemoryPlainTarget,
)
from dandelioncleat.standin.service import PlainService, ServiceSettings


class ModelStandin(NamedTuple):
    """A model target's stand-in."""

    name: str
    service: str
    engine: Engine


class PlainStandin(NamedTuple):
    """A plain target's stand-in and the price of a call."""

    name: str
    service: str
    plain: PlainService
    price_tokens: int


Standin = ModelStandin | PlainStandin


def new_standin(name: str, deployment: Deployment) -> Standin:
    """Return the stand-in of a trace's target."""
    target = deployment.targets[name]
    service = deployment.services[target.service]
    if service.kind == ServiceKind.MODEL:
        settings = EngineSettings(
            slots=target.slots,
            prefill_tokens_s=target.prefill_tokens_s,
            decode_tokens_s=target.decode_tokens_s,
            kv_tokens=target.kv_tokens,
            checks_fencing=target.checks_fencing,
        )
        return ModelStandin(name, target.service, Engine(settings))
    plain = PlainService(
        ServiceSettings(
            slots=target.slots,
            service_ms=service.service_ms,
            checks_fencing=target.checks_fencing,
        ),
    )
    return PlainStandin(name, target.service, plain, service.price_tokens)


def new_client(standin: Standin) -> TargetClient:
    """Return the port through which a sidecar calls a stand-in."""
    match standin:
        case ModelStandin(name=name, engine=engine):
            return MemoryModelTarget(engine, name=name)
        case PlainStandin(name=name, plain=plain):
            return MemoryPlainTarget(plain, name=name)

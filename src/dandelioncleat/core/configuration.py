"""The configuration at one version of the configuration stream."""

from enum import StrEnum
from typing import NamedTuple

from dandelioncleat.core.identity import Digest


class ServiceKind(StrEnum):
    """Whether a service serves models."""

    MODEL = 'model'
    PLAIN = 'plain'


class LogOutagePolicy(StrEnum):
    """What happens to non-idempotent calls while the log is down."""

    REFUSE = 'refuse'
    GUARDED = 'guarded'


class BudgetPreference(StrEnum):
    """Which of the two measures the sizing of grants favours."""

    LEDGER = 'ledger'
    REFUSALS = 'refusals'


class Service(NamedTuple):
    """A model or plain service that targets serve.

    ``price_tokens`` is the price of a plain service's call. ``models`` are
    the model names by which callers reach a model service. ``unsafe_methods``
    are the HTTP methods of calls that are not idempotent.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...] = ()
    price_tokens: int = 1
    on_log_outage: LogOutagePolicy = LogOutagePolicy.REFUSE
    checks_fencing: bool = False
    unsafe_methods: tuple[str, ...] = ('POST', 'PUT', 'PATCH', 'DELETE')
    slots: int = 64
    queue_limit: int = 64
    default_max_tokens: int = 256
    template_tokens: int = 16
    deadline_ms: int = 60000


class Target(NamedTuple):
    """A back end of a service, beside which a sidecar runs."""

    name: str
    service: str
    data_centre: str
    slots: int = 8
    drain: bool = False


class CredentialHash(NamedTuple):
    """A salted hash of a bearer key, both in hexadecimal."""

    salt: str
    digest: str


class Organisation(NamedTuple):
    """A customer; ``budget`` is its initial number of prepaid tokens.

    They are granted once: an organisation that is removed and added again
    keeps its old balance. It may use every service if ``services`` is empty,
    and has no limit of running requests if ``max_running`` is 0.
    """

    name: str
    budget: int = 0
    credentials: tuple[CredentialHash, ...] = ()
    services: tuple[str, ...] = ()
    max_running: int = 0


class Policy(NamedTuple):
    """Settings of grants, placement, retries and the quarantine.

    ``grant_policy`` and ``placement_policy`` are names of known policies.
    """

    preference: BudgetPreference = BudgetPreference.LEDGER
    grant_policy: str = 'adaptive'
    grant_tokens: int = 20000
    grant_share: float = 0.5
    grant_hold_s: float = 3600.0
    placement_policy: str = 'two_choices'
    subset_size: int = 12
    retry_share: float = 0.2
    ledger_shards: int = 1
    poison_crashes: int = 2
    retry_window_s: float = 3600.0


class Configuration(NamedTuple):
    """A configuration; its digest also covers all earlier versions."""

    version: int
    digest: Digest
    services_by_name: dict[str, Service]
    targets_by_name: dict[str, Target]
    organisations_by_name: dict[str, Organisation]
    operators_by_name: dict[str, CredentialHash]
    policy: Policy


def empty_configuration() -> Configuration:
    """Return version 0, which every configuration stream starts from."""
    return Configuration(0, Digest(''), {}, {}, {}, {}, Policy())

"""The document of a patch: which entries it adds, changes and removes."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from dandelioncleat.core.configuration import (
    BudgetPreference,
    LogOutagePolicy,
    ServiceKind,
)

MAX_INTEGER = 2**53
MAX_SLOTS = 4096

Name = Annotated[
    str,
    StringConstraints(pattern='^[a-z0-9][a-z0-9._-]{0,63}$'),
]
ModelName = Annotated[
    str,
    StringConstraints(pattern='^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$'),
]
Method = Annotated[str, StringConstraints(pattern='^[A-Z]{3,16}$')]
Salt = Annotated[str, StringConstraints(pattern='^[0-9a-f]{32}$')]
KeyDigest = Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[int, Field(ge=1, le=MAX_INTEGER)]
Slots = Annotated[int, Field(ge=1, le=MAX_SLOTS)]
Share = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(gt=0, le=MAX_INTEGER)]


class _Document(BaseModel):
    """Base class that makes the validation of a patch strict."""

    model_config = ConfigDict(
        extra='forbid',
        strict=True,
        frozen=True,
        allow_inf_nan=False,
    )


class ServiceChange(_Document):
    """The fields of a service that a patch sets."""

    kind: ServiceKind = ServiceKind.PLAIN
    models: tuple[ModelName, ...] = ()
    price_tokens: Count = 1
    on_log_outage: LogOutagePolicy = LogOutagePolicy.REFUSE
    checks_fencing: bool = False
    unsafe_methods: tuple[Method, ...] = ()
    slots: Slots = 1
    queue_limit: Count = 1
    default_max_tokens: PositiveCount = 1
    template_tokens: Count = 0
    deadline_ms: PositiveCount = 1


class TargetChange(_Document):
    """The fields of a target that a patch sets."""

    service: Name = ''
    data_centre: Name = ''
    slots: Slots = 1
    drain: bool = False


class CredentialChange(_Document):
    """The salted hash of a key, as ``operator key new`` prints it."""

    salt: Salt
    digest: KeyDigest


class OrganisationChange(_Document):
    """The fields of an organisation that a patch sets."""

    budget: Count = 0
    credentials: tuple[CredentialChange, ...] = ()
    services: tuple[Name, ...] = ()
    max_running: Count = 0


class PolicyChange(_Document):
    """The fields of the policy that a patch sets."""

    preference: BudgetPreference = BudgetPreference.LEDGER
    grant_policy: Name = ''
    grant_tokens: PositiveCount = 1
    grant_share: Share = 0
    grant_hold_s: Seconds = 1
    placement_policy: Name = ''
    subset_size: PositiveCount = 1
    retry_share: Share = 0
    ledger_shards: Slots = 1
    poison_crashes: PositiveCount = 1
    retry_window_s: Seconds = 1


class PatchBody(_Document):
    """A whole patch; a null entry removes the existing one."""

    services: dict[Name, ServiceChange | None] = {}
    targets: dict[Name, TargetChange | None] = {}
    organisations: dict[Name, OrganisationChange | None] = {}
    operators: dict[Name, CredentialChange | None] = {}
    policy: PolicyChange = PolicyChange()


def fields_set(change: BaseModel) -> dict[str, Any]:
    """Return the fields that a document sets, by name."""
    return {
        name: getattr(change, name)
        for name in type(change).model_fields
        if name in change.model_fields_set
    }

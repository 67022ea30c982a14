"""What the demonstration deploys: two data centres and two workloads."""

from typing import Any, NamedTuple

from dandelioncleat.core.configuration import CredentialHash, ServiceKind
from dandelioncleat.core.credential import GeneratedKey

EAST = 'klang-a'
WEST = 'bogota-a'
DUES_MODEL = 'dues-llm'
BILLING = 'billing-app'
ASSISTANT = 'asistente'
COUPONS = 'caja'
BILLING_PRICE_TOKENS = 5
COUPON_PRICE_TOKENS = 3

PORT_FINANCE = 'port-finance'
SHIP_AGENTS = 'ship-agents'
PHARMACIES = 'farmacias-sol'
CORNER_SHOP = 'tienda-ana'


class RouterSpec(NamedTuple):
    """A router of the demonstration."""

    host: str
    data_centre: str


class TargetSpec(NamedTuple):
    """A target of the demonstration; its sidecar runs on the same host."""

    name: str
    service: str
    kind: ServiceKind
    data_centre: str

    @property
    def host(self) -> str:
        """Return the host's name."""
        return f'host-{self.name}'


class OrganisationSpec(NamedTuple):
    """An organisation of the demonstration and its prepaid tokens."""

    name: str
    budget: int
    services: tuple[str, ...]


ROUTERS = (
    RouterSpec('entry-1', EAST),
    RouterSpec('entry-2', EAST),
    RouterSpec('entry-3', WEST),
)
TARGETS = (
    TargetSpec('dues-1', DUES_MODEL, ServiceKind.MODEL, EAST),
    TargetSpec('dues-2', DUES_MODEL, ServiceKind.MODEL, WEST),
    TargetSpec('billing-1', BILLING, ServiceKind.PLAIN, EAST),
    TargetSpec('billing-2', BILLING, ServiceKind.PLAIN, WEST),
    TargetSpec('asistente-1', ASSISTANT, ServiceKind.MODEL, WEST),
    TargetSpec('asistente-2', ASSISTANT, ServiceKind.MODEL, EAST),
    TargetSpec('caja-1', COUPONS, ServiceKind.PLAIN, WEST),
    TargetSpec('caja-2', COUPONS, ServiceKind.PLAIN, EAST),
)
ORGANISATIONS = (
    OrganisationSpec(PORT_FINANCE, 60000, (DUES_MODEL, BILLING)),
    OrganisationSpec(SHIP_AGENTS, 40000, (DUES_MODEL, BILLING)),
    OrganisationSpec(PHARMACIES, 40000, (ASSISTANT, COUPONS)),
    OrganisationSpec(CORNER_SHOP, 2000, (ASSISTANT, COUPONS)),
)
PRICE_BY_SERVICE = {  # noqa: WPS407
    BILLING: BILLING_PRICE_TOKENS,
    COUPONS: COUPON_PRICE_TOKENS,
}
BUDGET_BY_ORGANISATION = {spec.name: spec.budget for spec in ORGANISATIONS}


def first_patch(
    keys_by_organisation: dict[str, GeneratedKey],
    operator: GeneratedKey,
) -> dict[str, Any]:
    """Return the patch that deploys the services, targets and organisations."""
    return {
        'services': _services(),
        'targets': {
            spec.name: {
                'service': spec.service,
                'data_centre': spec.data_centre,
                'slots': 8,
            }
            for spec in TARGETS
        },
        'organisations': {
            spec.name: {
                'budget': spec.budget,
                'credentials': [_entry(keys_by_organisation[spec.name].entry)],
                'services': list(spec.services),
            }
            for spec in ORGANISATIONS
        },
        'operators': {'demo': _entry(operator.entry)},
    }


def _services() -> dict[str, Any]:
    return {
        DUES_MODEL: {
            'kind': 'model',
            'models': ['dues-llm'],
            'checks_fencing': True,
        },
        ASSISTANT: {'kind': 'model', 'models': ['asistente']},
        BILLING: {
            'kind': 'plain',
            'price_tokens': BILLING_PRICE_TOKENS,
            'on_log_outage': 'refuse',
            'checks_fencing': True,
        },
        COUPONS: {
            'kind': 'plain',
            'price_tokens': COUPON_PRICE_TOKENS,
            'on_log_outage': 'guarded',
        },
    }


def _entry(credential: CredentialHash) -> dict[str, str]:
    return {'salt': credential.salt, 'digest': credential.digest}

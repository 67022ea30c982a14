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


class RouterRole(NamedTuple):
    """A router of the demonstration."""

    host: str
    data_centre: str


class TargetRole(NamedTuple):
    """A target of the demonstration, with the host that it shares."""

    name: str
    service: str
    kind: ServiceKind
    data_centre: str

    @property
    def host(self) -> str:
        """Return the host's name."""
        return f'host-{self.name}'


class OrganisationRole(NamedTuple):
    """An organisation of the demonstration and its prepaid tokens."""

    name: str
    budget: int
    services: tuple[str, ...]


ROUTERS = (
    RouterRole('entry-1', EAST),
    RouterRole('entry-2', EAST),
    RouterRole('entry-3', WEST),
)
TARGETS = (
    TargetRole('dues-1', DUES_MODEL, ServiceKind.MODEL, EAST),
    TargetRole('dues-2', DUES_MODEL, ServiceKind.MODEL, WEST),
    TargetRole('billing-1', BILLING, ServiceKind.PLAIN, EAST),
    TargetRole('billing-2', BILLING, ServiceKind.PLAIN, WEST),
    TargetRole('asistente-1', ASSISTANT, ServiceKind.MODEL, WEST),
    TargetRole('asistente-2', ASSISTANT, ServiceKind.MODEL, EAST),
    TargetRole('caja-1', COUPONS, ServiceKind.PLAIN, WEST),
    TargetRole('caja-2', COUPONS, ServiceKind.PLAIN, EAST),
)
ORGANISATIONS = (
    OrganisationRole(PORT_FINANCE, 60000, (DUES_MODEL, BILLING)),
    OrganisationRole(SHIP_AGENTS, 40000, (DUES_MODEL, BILLING)),
    OrganisationRole(PHARMACIES, 40000, (ASSISTANT, COUPONS)),
    OrganisationRole(CORNER_SHOP, 2000, (ASSISTANT, COUPONS)),
)
PRICE_BY_SERVICE = {  # noqa: WPS407
    BILLING: BILLING_PRICE_TOKENS,
    COUPONS: COUPON_PRICE_TOKENS,
}
BUDGET_BY_ORGANISATION = {role.name: role.budget for role in ORGANISATIONS}


def first_patch(
    keys_by_organisation: dict[str, GeneratedKey],
    operator: GeneratedKey,
) -> dict[str, Any]:
    """Return the document that deploys everything."""
    return {
        'services': _services(),
        'targets': {
            role.name: {
                'service': role.service,
                'data_centre': role.data_centre,
                'slots': 8,
            }
            for role in TARGETS
        },
        'organisations': {
            role.name: {
                'budget': role.budget,
                'credentials': [_entry(keys_by_organisation[role.name].entry)],
                'services': list(role.services),
            }
            for role in ORGANISATIONS
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

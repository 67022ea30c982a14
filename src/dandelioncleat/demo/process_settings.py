"""The settings of the demonstration's processes."""

from typing import Any, NamedTuple

from dandelioncleat.core.credential import GeneratedKey
from dandelioncleat.core.fleet import ROUTER, SIDECAR
from dandelioncleat.daemons.settings import RouterSettings, SidecarSettings
from dandelioncleat.demo.deployment import RouterSpec, TargetSpec

ANY_PORT = '127.0.0.1:0'


class CommonSettings(NamedTuple):
    """What the settings of all processes have in common."""

    platform_url: str
    fleet_secret: str
    operator_key: GeneratedKey

    def router(self, spec: RouterSpec) -> RouterSettings:
        """Return the settings of a router."""
        return RouterSettings.model_validate(
            {
                'role': ROUTER,
                'host': spec.host,
                'data_centre': spec.data_centre,
                'listen': {'callers': ANY_PORT, 'peers': ANY_PORT},
                'operator': self.operator_key.entry._asdict(),
                **self._common(),
            }
        )

    def sidecar(self, spec: TargetSpec, url: str) -> SidecarSettings:
        """Return the settings of the sidecar of a target."""
        return SidecarSettings.model_validate(
            {
                'role': SIDECAR,
                'host': spec.host,
                'data_centre': spec.data_centre,
                'listen': {'peers': ANY_PORT},
                'target': {
                    'name': spec.name,
                    'service': spec.service,
                    'kind': spec.kind.value,
                    'url': url,
                },
                **self._common(),
            }
        )

    def _common(self) -> dict[str, Any]:
        return {
            'platform': {
                'log_url': self.platform_url,
                'host_list_url': self.platform_url,
            },
            'fleet': {'secret': self.fleet_secret},
        }

"""Decides whether a request may be served, before anything is sent."""

from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.deployment import (
    Deployment,
    Organisation,
    Route,
    Service,
)
from dandelioncleat.core.direct_request import (
    DirectRefusal,
    DirectRequest,
    RefusalReason,
)

NO_CONFIGURATION_RETRY_S = 0.5


class Admitted(NamedTuple):
    """The configuration that applies to an admitted request."""

    version: int
    route: Route
    service: Service
    organisation: Organisation | None

    @property
    def priority(self) -> int:
        """Return the organisation's priority, or else that of the route."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority


def admit(
    request: DirectRequest, deployment: Deployment | None
) -> Result[Admitted, DirectRefusal]:
    """Find the configuration of a request, or the reason to refuse it."""
    if deployment is None:
        retry_s = NO_CONFIGURATION_RETRY_S
        return Failed(
            DirectRefusal(RefusalReason.NO_CONFIGURATION, retry_after_s=retry_s)
        )
    path = request.path.partition('?')[0]
    route = deployment.routes.find(request.host, path)
    if route is None:
        return Failed(DirectRefusal(RefusalReason.NO_ROUTE))
    organisation = deployment.organisations_by_key.get(request.key or '')
    is_open = route.is_public or not deployment.organisations_by_name
    if organisation is None and not is_open:
        return Failed(DirectRefusal(RefusalReason.BAD_KEY))
    name = route.service_for(request.id)
    service = deployment.services_by_name.get(name)
    if service is None:
        return Failed(DirectRefusal(RefusalReason.NO_TARGET, retry_after_s=1))
    return Success(Admitted(deployment.version, route, service, organisation))

"""Decides whether a request may be served, before anything is sent.

The configuration may have changed since it was last read. An answer that ends
a request for good needs one that is known to be recent, and a request that
another router forwards needs the version of that router.
"""

from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.app.direct.deployment_watch import DeploymentWatch
from dandelioncleat.app.direct.topic_age import AgedTopic
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
UNCONFIRMED_RETRY_S = 1.0
OTHER_VERSION_RETRY_S = 0.3
# Maximum age of the configuration for an answer that ends a request for good.
# Versions are in force everywhere two seconds after their confirmation.
MAX_REFUSAL_AGE_S = 1.0
# From this age on the store is asked before a request is served; it is served
# all the same if the store does not answer.
MAX_SERVING_AGE_S = 1.5

_FINAL_REASONS = frozenset(
    (
        RefusalReason.NO_ROUTE,
        RefusalReason.BAD_KEY,
        RefusalReason.PREPAID_SPENT,
    )
)


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


class Admission:
    """Admits requests by a configuration whose age is known."""

    def __init__(self, deployment: DeploymentWatch, topic: AgedTopic) -> None:
        """Initialise with the configuration and the topic it is read from."""
        self.topic = topic
        self._deployment = deployment

    @property
    def version(self) -> int | None:
        """Return the version in force, ``None`` without a configuration."""
        current = self._deployment.current
        return None if current is None else current.version

    async def admit(
        self, request: DirectRequest
    ) -> Result[Admitted, DirectRefusal]:
        """Find the configuration of a request, or the reason to refuse it."""
        refusal = await self._version_refusal(request)
        if refusal is not None:
            return Failed(refusal)
        decision = admit(request, self._deployment.current)
        max_age_s = MAX_SERVING_AGE_S
        if _is_final(decision):
            max_age_s = MAX_REFUSAL_AGE_S
        is_confirmed = self.topic.age_s <= max_age_s
        if not is_confirmed:
            is_confirmed = await self.topic.confirm(max_age_s=max_age_s)
            decision = admit(request, self._deployment.current)
        is_newest = is_confirmed and not self._deployment.is_outdated
        if _is_final(decision) and not is_newest:
            return Failed(_unconfirmed())
        return decision

    async def confirmed(self, refusal: DirectRefusal) -> DirectRefusal:
        """Return a refusal that rests on the configuration, if that is recent.

        Otherwise the caller is told to come back.
        """
        if refusal.reason not in _FINAL_REASONS:
            return refusal
        version = self.version
        is_confirmed = await self.topic.confirm(max_age_s=MAX_REFUSAL_AGE_S)
        is_newest = is_confirmed and not self._deployment.is_outdated
        if is_newest and self.version == version:
            return refusal
        return _unconfirmed()

    async def catch_up(self, version: int | None) -> bool:
        """Read the store if no newer version than this one is known yet.

        Returns whether a newer one is known.
        """
        if self.version == version:
            await self.topic.confirm(max_age_s=0)
        return self.version != version

    async def _version_refusal(
        self, request: DirectRequest
    ) -> DirectRefusal | None:
        """Return a refusal if the sender has another version."""
        expected = request.sender_version
        if expected is None or self.version is None:
            return None
        if self.version < expected:
            await self.topic.confirm(max_age_s=0)
        if self.version == expected:
            return None
        reason = RefusalReason.CONFIGURATION_AHEAD
        if self.version < expected:
            reason = RefusalReason.CONFIGURATION_BEHIND
        return DirectRefusal(reason, retry_after_s=OTHER_VERSION_RETRY_S)


def _is_final(decision: Result[Admitted, DirectRefusal]) -> bool:
    """Return whether a decision ends a request for good."""
    if is_successful(decision):
        return False
    return decision.failure().reason in _FINAL_REASONS


def _unconfirmed() -> DirectRefusal:
    return DirectRefusal(
        RefusalReason.CONFIGURATION_UNCONFIRMED,
        retry_after_s=UNCONFIRMED_RETRY_S,
    )

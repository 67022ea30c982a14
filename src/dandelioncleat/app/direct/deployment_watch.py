"""Follows the operator's configuration."""

import asyncio
from collections.abc import Callable

import structlog
from returns.pipeline import is_successful
from returns.result import Result

from dandelioncleat.app.direct.topic_follower import TopicChange
from dandelioncleat.core.deployment import Deployment

_logger = structlog.get_logger(__name__)

DecodeDeployment = Callable[[bytes], Result[Deployment, str]]


class DeploymentWatch:
    """Keeps the newest configuration and ignores older versions.

    ``is_outdated`` says that the newest one could not be decoded.
    """

    def __init__(
        self,
        decode: DecodeDeployment,
        *,
        key: str,
        on_change: Callable[[Deployment], None],
    ) -> None:
        """Initialise with a decoder and the key of the configuration record."""
        self.current: Deployment | None = None
        self.is_outdated = False
        self.loaded = asyncio.Event()
        self._decode = decode
        self._key = key
        self._on_change = on_change

    def apply(self, change: TopicChange) -> None:
        """Apply changed records unless their version is outdated."""
        for record in change.records:
            if record.key == self._key and record.value:
                self._apply_record(record.value)

    def _apply_record(self, data: bytes) -> None:
        decoded = self._decode(data)
        if not is_successful(decoded):
            self.is_outdated = True
            _logger.error(
                'configuration cannot be decoded', reason=decoded.failure()
            )
            return
        deployment = decoded.unwrap()
        current = self.current
        if current is not None and deployment.version < current.version:
            return
        self.is_outdated = False
        if current is not None and deployment.version == current.version:
            return
        self.current = deployment
        self._on_change(deployment)
        self.loaded.set()
        _logger.info(
            'configuration in force',
            version=deployment.version,
            organisations=len(deployment.organisations_by_name),
            services=len(deployment.services_by_name),
        )

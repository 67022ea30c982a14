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
    """Keeps the newest configuration; it never goes back to an older one."""

    def __init__(
        self,
        decode: DecodeDeployment,
        *,
        key: str,
        on_change: Callable[[Deployment], None],
    ) -> None:
        """Take the decoder and the key of the configuration's record."""
        self.current: Deployment | None = None
        self.known = asyncio.Event()
        self._decode = decode
        self._key = key
        self._on_change = on_change

    def take(self, change: TopicChange) -> None:
        """Take changed records; only the newest version counts."""
        for record in change.records:
            if record.key == self._key and record.value:
                self._take_value(record.value)

    def _take_value(self, data: bytes) -> None:
        decoded = self._decode(data)
        if not is_successful(decoded):
            _logger.error(
                'configuration cannot be read', reason=decoded.failure()
            )
            return
        deployment = decoded.unwrap()
        current = self.current
        if current is not None and deployment.version <= current.version:
            return
        self.current = deployment
        self._on_change(deployment)
        self.known.set()
        _logger.info(
            'configuration in force',
            version=deployment.version,
            organisations=len(deployment.organisations_by_name),
            services=len(deployment.services_by_name),
        )

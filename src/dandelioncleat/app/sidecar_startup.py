"""The steps that a sidecar takes before it accepts work."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import structlog

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.app.sidecar_life import SidecarLife
from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.core.record import Join, Replace
from dandelioncleat.ports.target import TargetClient

FENCE_RETRY_S = 1.0
NO_FENCING_NUMBER = 0

_logger = structlog.get_logger(__name__)


class SidecarStartup:
    """Joins the fleet and fences off earlier sidecars of the target."""

    def __init__(
        self,
        join: Join,
        *,
        client: TargetClient,
        configuration: ConfigurationKeeper,
        fleet: FleetKeeper,
        life: SidecarLife,
        set_fence: Callable[[int], None],
    ) -> None:
        """Take the join record, the target and the sidecar's life cycle."""
        self._join = join
        self._client = client
        self._configuration = configuration
        self._fleet = fleet
        self._life = life
        self._set_fence = set_fence

    async def run(self) -> None:
        """Open the sidecar once it has joined and fenced its target."""
        await self._configuration.caught_up.wait()
        await self._fleet.caught_up.wait()
        if self._life.left.is_set():
            return
        self._life.join()
        number = await self._announce()
        if number == NO_FENCING_NUMBER:
            _logger.error('sidecar could not join the fleet')
            return
        self._set_fence(number)
        if await self._fence(number):
            await self._replace_predecessors(number)
        if not self._life.left.is_set():
            self._life.open()

    async def _announce(self) -> int:
        """Join the fleet and return the fencing number, which always grows."""
        with suppress(FailureError):
            await self._fleet.submit(self._join)
        fold = self._fleet.fold
        member = fold.members_by_incarnation.get(self._join.incarnation)
        return NO_FENCING_NUMBER if member is None else member.offset + 1

    async def _fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        while True:
            try:
                return await self._client.fence(number)
            except FailureError as error:
                if error.failure.code is Code.FENCED:
                    _logger.error('target was fenced by a later sidecar')
                    await self._life.left.wait()
            await asyncio.sleep(FENCE_RETRY_S)

    async def _replace_predecessors(self, number: int) -> None:
        """Record that earlier sidecars, now fenced off, were replaced."""
        current = self._configuration.current
        service = current.services_by_name.get(self._join.service)
        if service is None or not service.checks_fencing:
            return
        fold = self._fleet.fold
        replaced = [
            Replace(member.join.incarnation, self._join.incarnation)
            for member in fold.members_by_incarnation.values()
            if member.join.target == self._join.target
            and member.offset + 1 < number
            and not member.ended
        ]
        if replaced:
            with suppress(FailureError):
                await self._fleet.submit(*replaced)

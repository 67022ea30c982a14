"""The steps by which a sidecar comes to take work."""

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
NO_NUMBER = 0

_logger = structlog.get_logger(__name__)


class FleetEntry:
    """Joins the fleet and fences the target off from earlier sidecars."""

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
        """Take the announcement, the target and the sidecar's life."""
        self._join = join
        self._client = client
        self._configuration = configuration
        self._fleet = fleet
        self._life = life
        self._set_fence = set_fence

    async def run(self) -> None:
        """Open the sidecar once its own announcement was read back."""
        await self._configuration.caught_up.wait()
        await self._fleet.caught_up.wait()
        if self._life.left.is_set():
            return
        self._life.join()
        number = await self._announce()
        if number == NO_NUMBER:
            _logger.error('the fleet refused the sidecar')
            return
        self._set_fence(number)
        if await self._fence(number):
            await self._replace_predecessors(number)
        if not self._life.left.is_set():
            self._life.open()

    async def _announce(self) -> int:
        """Return the fencing number, which grows with each announcement."""
        with suppress(FailureError):
            await self._fleet.submit(self._join)
        fold = self._fleet.fold
        member = fold.members_by_incarnation.get(self._join.incarnation)
        return NO_NUMBER if member is None else member.offset + 1

    async def _fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        while True:
            try:
                return await self._client.fence(number)
            except FailureError as error:
                if error.failure.code is Code.FENCED:
                    _logger.error('a later sidecar has fenced the target')
                    await self._life.left.wait()
            await asyncio.sleep(FENCE_RETRY_S)

    async def _replace_predecessors(self, number: int) -> None:
        """Answer for those whose orders the target refuses from now on."""
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

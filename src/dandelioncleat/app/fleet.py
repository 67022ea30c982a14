"""Follows the fleet stream and appends to it."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.envelope import fleet_codec
from dandelioncleat.core.fleet import FleetFold
from dandelioncleat.core.fleet_verdict import FleetVerdict
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.record import FleetRecord
from dandelioncleat.ports.log import Log

FLEET_STREAM = 'fleet'


class FleetKeeper:
    """Keeps the fleet's members and retirements up to date."""

    def __init__(self, *, log: Log, producer: Incarnation) -> None:
        """Take the log and the process that appends to it."""
        self.fold = FleetFold()
        self._follower: StreamFollower[FleetRecord, FleetVerdict] = (
            StreamFollower(
                log=log,
                name=FLEET_STREAM,
                fold=self.fold,
                codec=fleet_codec(),
                producer=producer,
            )
        )

    @property
    def caught_up(self) -> asyncio.Event:
        """Return the event that is set once the stream was read to its end."""
        return self._follower.caught_up

    @property
    def log_failing(self) -> bool:
        """Return whether the last call to the log failed."""
        return self._follower.log_failing

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after the fold changed."""
        self._follower.on_change(listener)

    async def submit(self, *records: FleetRecord) -> tuple[FleetVerdict, ...]:
        """Append records and return their verdicts once read back."""
        return await self._follower.submit(*records)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        await self._follower.run()

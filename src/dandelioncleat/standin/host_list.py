"""An in-memory host list of the platform, with simulated faults."""

import asyncio

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.ports.host_list import HostState
from dandelioncleat.standin._lag import LaggingState


class MemoryHostList:
    """Implements the ``HostList`` port.

    ``lag_s`` delays changes of the list, in seconds; ``outage`` makes reads
    fail.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.outage = False
        self._hosts_by_name: dict[str, HostState] = {}
        self._past = LaggingState[tuple[HostState, ...]](now=_now)

    @property
    def lag_s(self) -> float:
        """Delay of the list in seconds."""
        return self._past.lag_s

    @lag_s.setter
    def lag_s(self, lag_s: float) -> None:
        self._past.lag_s = lag_s
        self._past.note(self._current())

    def set_live(self, host: str, data_centre: str) -> None:
        """List a host as live."""
        self._hosts_by_name[host] = HostState(host, data_centre, leaving=False)
        self._past.note(self._current())

    def set_leaving(self, host: str) -> None:
        """List a host as leaving."""
        state = self._hosts_by_name[host]
        self._hosts_by_name[host] = state._replace(leaving=True)
        self._past.note(self._current())

    def remove(self, host: str) -> None:
        """Remove a host from the list."""
        self._hosts_by_name.pop(host, None)
        self._past.note(self._current())

    async def hosts(self) -> tuple[HostState, ...]:
        """Return the live and leaving hosts as of ``lag_s`` ago."""
        if self.outage:
            raise failure_error(
                Code.UNREACHABLE,
                step='hosts',
                peer='host list',
                text='the host list is unavailable',
            )
        return self._past.read(self._current())[1]

    def _current(self) -> tuple[HostState, ...]:
        return tuple(self._hosts_by_name.values())


def _now() -> float:
    return asyncio.get_running_loop().time()

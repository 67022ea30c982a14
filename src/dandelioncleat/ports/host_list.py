"""The platform's list of live and leaving hosts, which lags behind."""

from typing import NamedTuple, Protocol


class HostState(NamedTuple):
    """One host of the list."""

    host: str
    data_centre: str
    leaving: bool


class HostList(Protocol):
    """Reads the list; failures raise ``FailureError``."""

    async def hosts(self) -> tuple[HostState, ...]:
        """Return all live and leaving hosts."""

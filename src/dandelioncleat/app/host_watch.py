"""Polls the platform's host list."""

import asyncio
from collections.abc import Callable

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import Incarnation, host_of
from dandelioncleat.ports.host_list import HostList, HostState

POLL_INTERVAL_S = 1.0


class HostWatch:
    """Tracks which hosts leave; a host that was never listed may serve."""

    def __init__(self, host_list: HostList) -> None:
        """Take the list to poll."""
        self.failing = False
        self._host_list = host_list
        self._leaving_by_host: dict[str, bool] = {}
        self._gone_since_by_host: dict[str, float] = {}
        self._fetched_at = float('-inf')
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a host is added, leaves or is removed."""
        self._listeners.append(listener)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a process's host is leaving or was removed."""
        return self._leaving_by_host.get(host_of(incarnation), False)

    def is_gone(self, incarnation: Incarnation, *, for_s: float = 0) -> bool:
        """Return whether a process's host was removed from the list.

        :param for_s: minimum time in seconds since it was last listed
        """
        since = self._gone_since_by_host.get(host_of(incarnation))
        if since is None:
            return False
        return asyncio.get_running_loop().time() - since >= for_s

    def is_listed(self, incarnation: Incarnation, *, within_s: float) -> bool:
        """Return whether a process's host is on a recent list.

        :param within_s: maximum age of the list, in seconds
        """
        age_s = asyncio.get_running_loop().time() - self._fetched_at
        host = host_of(incarnation)
        is_gone = host in self._gone_since_by_host
        is_known = host in self._leaving_by_host and not is_gone
        return is_known and age_s < within_s

    async def run(self) -> None:
        """Poll until cancelled; the last list stays in use during an outage."""
        while True:
            asked_at = asyncio.get_running_loop().time()
            try:
                self._apply(await self._host_list.hosts())
            except FailureError:
                self.failing = True
            else:
                self._fetched_at = asked_at
            await asyncio.sleep(POLL_INTERVAL_S)

    def _apply(self, hosts: tuple[HostState, ...]) -> None:
        self.failing = False
        # A host that is no longer listed was removed.
        self._note_gone(frozenset(host.host for host in hosts))
        leaving_by_host = dict.fromkeys(self._leaving_by_host, True)
        leaving_by_host.update((host.host, host.leaving) for host in hosts)
        if leaving_by_host != self._leaving_by_host:
            self._leaving_by_host = leaving_by_host
            for listener in self._listeners:
                listener()

    def _note_gone(self, listed: frozenset[str]) -> None:
        now = asyncio.get_running_loop().time()
        since_by_host = self._gone_since_by_host
        self._gone_since_by_host = {
            host: since_by_host.get(host, now)
            for host in self._leaving_by_host
            if host not in listed
        }

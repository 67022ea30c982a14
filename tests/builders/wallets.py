"""Builders of wallets that share a store on virtual time."""

import asyncio
import contextlib

from dandelioncleat.app.direct.wallet import Wallet
from dandelioncleat.core.clock_check import ClockAnswer, ClockEvidence
from dandelioncleat.core.holding import Moment
from dandelioncleat.core.host_choice import HostChoice
from dandelioncleat.core.host_holdings import TokenNeed
from dandelioncleat.standin.keyed_store import MemoryKeyedStore

WALL_START = 1_800_000_000.0
COPY_AGE_S = 6.5


class HostClock:
    """A host's clocks; a power loss restarts the monotonic one."""

    def __init__(self):
        """Start with both clocks at a fixed offset to the loop time."""
        self.monotonic_offset = 1000.0
        self.wall_offset = WALL_START

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time() + self.monotonic_offset

    def wall(self):
        """Return the time of day in seconds."""
        return asyncio.get_running_loop().time() + self.wall_offset


class WalletHost:
    """A host whose process can be cut off, killed and started again."""

    def __init__(self, store, name, paid, gateways=None):
        """Set the store, the tokens paid for each budget, and the gateways."""
        self.name = name
        self.clock = HostClock()
        self.spent = 0
        self.holders = HostChoice()
        self.evidence = ClockEvidence()
        self._store = store
        self._gateways = gateways
        self._paid = dict(paid)
        self._task = None
        self.client = None
        self.wallet = None

    def check_clock(self, difference_s=0):
        """Note a check that other hosts' clocks agree, or differ."""
        now = Moment(self.clock.monotonic(), self.clock.wall())
        told_s = now.wall + difference_s
        self.evidence.note([ClockAnswer(now, told_s, now)] * 7, now)

    def start(self):
        """Start a process."""
        self.evidence = ClockEvidence()
        self.client = self._store.client()
        store = self.client
        if self._gateways is not None:
            store = self._gateways.path(self.name, self.client)
        self.wallet = Wallet(
            store,
            host=self.name,
            clock=self.clock,
            copy_age_s=COPY_AGE_S,
            holders=self.holders,
            clock_evidence=self.evidence,
        )
        self.wallet.set_paid(self._paid)
        self._task = asyncio.ensure_future(self.wallet.run())

    async def ready(self):
        """Wait until the accounts are open."""
        await self.wallet.opened.wait()

    async def kill(self):
        """Cancel the process at once and cut it off from the store.

        :raises Exception: if the process had ended by itself
        """
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self.client.is_cut_off = True

    async def stop(self, *, limit_s):
        """Stop the process as planned; it ends after some seconds anyway."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.wallet.close()
        await self.kill()

    def may_use(self, budget):
        """Return what the host has used and may still use."""
        account = self.wallet._holdings.accounts_by_budget.get(budget)
        if account is None or self._task.done():
            return self.spent
        return self.spent + account.free

    def pay(self, paid):
        """Set the tokens paid for each budget."""
        self._paid = dict(paid)
        self.wallet.set_paid(self._paid)

    async def spend(self, budget, tokens, *, request='r', limit_s=0.3):
        """Reserve tokens and use all; return the verdict."""
        need = TokenNeed(request, budget, tokens)
        verdict = await self.wallet.reserve(need, limit_s=limit_s)
        if verdict == 'reserved':
            self.spent += tokens
            self.wallet.settle(need, tokens)
        return verdict

    def hosts_with_tokens(self, budget, tokens, request):
        """Return the other hosts that have enough tokens, best first."""
        need = TokenNeed(request, budget, tokens)
        return self.wallet.hosts_with_tokens(need)


async def new_hosts(count, paid, store=None, gateways=None):
    """Return started hosts that share a store, and the store."""
    store = store or MemoryKeyedStore()
    hosts = [WalletHost(store, f'h{n}', paid, gateways) for n in range(count)]
    for host in hosts:
        host.start()
    for host in hosts:
        await host.ready()
    await asyncio.sleep(COPY_AGE_S + 2)
    return hosts, store


async def new_fleet(count, paid):
    """Return started hosts of a fleet that all of them know from the start."""
    store = MemoryKeyedStore()
    hosts = [WalletHost(store, f'h{n}', paid) for n in range(count)]
    set_fleet(hosts)
    for host in hosts:
        host.start()
        await asyncio.sleep(0.2)
    await asyncio.sleep(COPY_AGE_S + 5)
    return hosts


def set_fleet(hosts):
    """Tell all hosts which hosts there are, each with one core."""
    cores_by_host = {host.name: 1.0 for host in hosts}
    for host in hosts:
        host.holders.set_hosts(cores_by_host)


async def end(hosts):
    """End all hosts."""
    for host in hosts:
        await host.kill()

"""The ledger shards that a router follows."""

import asyncio
from collections.abc import Callable

from dandelioncleat.app.stream import StreamFollower
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.identity import BudgetId, Incarnation
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import LedgerVerdict
from dandelioncleat.core.record import LedgerRecord
from dandelioncleat.core.shard import ledger_stream, shard_of
from dandelioncleat.ports.log import Log

OUTAGE_AFTER_S = 1.0
SLOW_S = 0.3
MIN_WAIT_S = 1.0
MAX_WAIT_S = 8.0
WAIT_ROUND_TRIPS = 3

RecordListener = Callable[[LedgerRecord, LedgerVerdict], None]


class Shard:
    """One ledger stream and the fold that is kept current with it."""

    def __init__(self, *, log: Log, number: int, producer: Incarnation) -> None:
        """Take the log, the shard's number and the appending process."""
        self.fold = LedgerFold()
        self.follower: StreamFollower[LedgerRecord, LedgerVerdict] = (
            StreamFollower(
                log=log,
                name=ledger_stream(number),
                fold=self.fold,
                codec=ledger_codec(),
                producer=producer,
            )
        )

    @property
    def is_available(self) -> bool:
        """Return whether the shard is caught up and the log answers."""
        caught_up = self.follower.caught_up.is_set()
        return caught_up and self.follower.outage.lasted_s() < OUTAGE_AFTER_S

    @property
    def is_slow(self) -> bool:
        """Return whether the log is slow or unavailable."""
        round_trip_s = self.follower.appender.round_trip_s
        return round_trip_s >= SLOW_S or not self.is_available

    @property
    def wait_s(self) -> float:
        """Return how long to wait for a verdict or for returned tokens."""
        wait_s = WAIT_ROUND_TRIPS * self.follower.appender.round_trip_s
        return min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S)


class Shards:
    """Follows all configured ledger shards."""

    def __init__(
        self,
        *,
        log: Log,
        producer: Incarnation,
        configuration: Callable[[], Configuration],
    ) -> None:
        """Take the log, the appending process and the configuration."""
        self.by_number: dict[int, Shard] = {}
        self._log = log
        self._producer = producer
        self._configuration = configuration
        self._started: set[int] = set()
        self._listeners: list[RecordListener] = []
        self._change_listeners: list[Callable[[], None]] = []

    def on_record(self, listener: RecordListener) -> None:
        """Call ``listener`` with each record of every shard."""
        self._listeners.append(listener)
        for shard in self.by_number.values():
            shard.follower.on_record(listener)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after entries of a shard were applied."""
        self._change_listeners.append(listener)
        for shard in self.by_number.values():
            shard.follower.on_change(listener)

    def of(self, budget: BudgetId) -> Shard:
        """Return the shard of a budget; create it if there is none."""
        shards = self._configuration().policy.ledger_shards
        return self._shard(shard_of(budget, shards))

    def start(self, group: asyncio.TaskGroup) -> None:
        """Start following the shards that are not followed yet."""
        configuration = self._configuration()
        if not configuration.version:
            return
        for number in range(max(1, configuration.policy.ledger_shards)):
            if number not in self._started:
                self._started.add(number)
                group.create_task(self._shard(number).follower.run())

    @property
    def are_caught_up(self) -> bool:
        """Return whether every shard was read to its end once."""
        shards = self.by_number.values()
        return bool(shards) and all(
            shard.follower.caught_up.is_set() for shard in shards
        )

    def _shard(self, number: int) -> Shard:
        shard = self.by_number.get(number)
        if shard is None:
            shard = self._new_shard(number)
            self.by_number[number] = shard
        return shard

    def _new_shard(self, number: int) -> Shard:
        shard = Shard(log=self._log, number=number, producer=self._producer)
        for listener in self._listeners:
            shard.follower.on_record(listener)
        for change_listener in self._change_listeners:
            shard.follower.on_change(change_listener)
        return shard

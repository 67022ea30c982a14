"""Which requests crashed the targets that ran them.

Such a request comes again with a new id, at any router. Each router records
the target starts that crashed while they ran a request, and reads the records
of all others. Requests that merely ran beside a crashing one succeed at their
next attempt, which withdraws their records.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

# Requests beside a crashing one may lose two targets in a row to it.
QUARANTINE_CRASHES = 3
QUARANTINE_S = 600.0


class CrashRecord(Struct, frozen=True, array_like=True):
    """The crashes that one host has seen a request cause.

    :param digest: digest of the request, equal for its repeats
    :param host: host of the router
    :param starts: the target starts that crashed
    :param at: time of day of the last crash, in seconds
    """

    digest: str
    host: str
    starts: tuple[str, ...]
    at: float

    @property
    def key(self) -> str:
        """Return the key of the record in the store."""
        return f'{self.digest}/{self.host}'


class Quarantine(NamedTuple):
    """A refusal of a request that crashes targets."""

    crashes: int
    left_s: float


class CrashRecords:
    """Combines the records of all hosts."""

    def __init__(self, host: str) -> None:
        """Start without a record.

        :param host: host of this router
        """
        self._host = host
        self._records_by_key: dict[str, CrashRecord] = {}
        self._keys_by_digest: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_key)

    def add_crash(self, digest: str, start: str, now: float) -> CrashRecord:
        """Return this host's record with one more crash, and keep it.

        :param start: the target start that crashed
        :param now: time of day in seconds
        """
        key = f'{digest}/{self._host}'
        known = self._records_by_key.get(key)
        earlier = set() if known is None else set(known.starts)
        starts = earlier | {start}
        record = CrashRecord(digest, self._host, tuple(sorted(starts)), now)
        self.put(record)
        return record

    def put(self, record: CrashRecord) -> None:
        """Store the newest record of a host."""
        self._records_by_key[record.key] = record
        self._keys_by_digest.setdefault(record.digest, set()).add(record.key)

    def remove(self, key: str) -> None:
        """Drop a record that was withdrawn."""
        record = self._records_by_key.pop(key, None)
        if record is None:
            return
        keys = self._keys_by_digest[record.digest]
        keys.discard(key)
        if not keys:
            self._keys_by_digest.pop(record.digest)

    def own(self) -> tuple[CrashRecord, ...]:
        """Return the records of this host."""
        records = self._records_by_key.values()
        return tuple(each for each in records if each.host == self._host)

    def clear(self) -> None:
        """Drop all records."""
        self._records_by_key.clear()
        self._keys_by_digest.clear()

    def withdraw(self, digest: str) -> tuple[str, ...]:
        """Drop a request's records and return their keys."""
        return self._remove_all(self._keys_by_digest.get(digest, ()))

    def remove_expired(self, now: float) -> tuple[str, ...]:
        """Drop the records whose quarantine has passed; return their keys."""
        return self._remove_all(
            key
            for key, record in self._records_by_key.items()
            if now - record.at > QUARANTINE_S
        )

    def quarantine(self, digest: str, now: float) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        keys = self._keys_by_digest.get(digest, ())
        records = [self._records_by_key[key] for key in keys]
        crashes = len({start for each in records for start in each.starts})
        if crashes < QUARANTINE_CRASHES:
            return None
        left_s = max(each.at for each in records) + QUARANTINE_S - now
        return Quarantine(crashes, left_s) if left_s > 0 else None

    def _remove_all(self, keys: Iterable[str]) -> tuple[str, ...]:
        removed = tuple(sorted(keys))
        for key in removed:
            self.remove(key)
        return removed

"""Which requests crashed the targets that ran them.

Such a request comes again with a new id, at any router. Each router records
the target starts that crashed while they ran a request, and reads the records
of all others. Requests that merely ran beside a crashing one succeed at their
next attempt, which withdraws their records.
"""

from typing import NamedTuple

from msgspec import Struct
from xxhash import xxh64_hexdigest

# Requests beside a crashing one may lose two targets in a row to it.
QUARANTINE_CRASHES = 3
QUARANTINE_S = 600.0


class CrashRecord(Struct, frozen=True, array_like=True):
    """A target crashed while it ran a request.

    Routers that saw the same crash write equal keys, so no record replaces
    another.

    :param digest: digest of the request, equal for its repeats
    :param start: the target start that crashed
    :param at: time of day of the crash, in seconds
    """

    digest: str
    start: str
    at: float

    @property
    def key(self) -> str:
        """Return the key of the record in the store."""
        return f'{self.digest}/{xxh64_hexdigest(self.start.encode())}'


class Quarantine(NamedTuple):
    """A refusal of a request that crashes targets."""

    crashes: int
    left_s: float


class CrashRecords:
    """Combines the records of all hosts."""

    def __init__(self) -> None:
        """Start without a record."""
        self._records_by_key: dict[str, CrashRecord] = {}
        self._keys_by_digest: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_key)

    def put(self, record: CrashRecord) -> None:
        """Store a record."""
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

    def get(self, key: str) -> CrashRecord | None:
        """Return a record, ``None`` if there is none."""
        return self._records_by_key.get(key)

    def clear(self) -> None:
        """Drop all records."""
        self._records_by_key.clear()
        self._keys_by_digest.clear()

    def keys_of(self, digest: str) -> tuple[str, ...]:
        """Return the keys of a request's records."""
        return tuple(sorted(self._keys_by_digest.get(digest, ())))

    def expired_keys(self, now: float) -> tuple[str, ...]:
        """Return the keys of the records whose quarantine has passed."""
        return tuple(
            key
            for key, record in self._records_by_key.items()
            if now - record.at > QUARANTINE_S
        )

    def quarantine(self, digest: str, now: float) -> Quarantine | None:
        """Return the quarantine of a request, ``None`` if it may run."""
        keys = self._keys_by_digest.get(digest, ())
        records = [self._records_by_key[key] for key in keys]
        crashes = len({each.start for each in records})
        if crashes < QUARANTINE_CRASHES:
            return None
        left_s = max(each.at for each in records) + QUARANTINE_S - now
        return Quarantine(crashes, left_s) if left_s > 0 else None

"""Which requests and prompt parts crashed the targets that ran them.

They come again at any router, so each router records the crashes that it sees
and reads the records of all others. What merely ran beside the cause of a crash
succeeds soon after at another target, which withdraws its records.
"""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh64_hexdigest

from dandelioncleat.core.crash_suspect import CrashSuspect

# After this time a crash tells nothing about the software that runs now.
RECORD_AGE_S = 600.0
# So many crashes that interrupted a request are hardly chance.
SURE_CRASHES = 3


class CrashRecord(Struct, frozen=True, array_like=True):
    """A target crashed while it ran something.

    Routers that saw the same crash write equal keys, so no record replaces
    another.

    :param suspect: key of the request or part that ran
    :param start: the target start that crashed
    :param at: time of day of the crash, in seconds
    :param depth: how specific the suspect is
    :param is_repeat: whether the run was sent after another target had crashed
        under the suspect
    :param is_abandoned: whether the run had ended without an answer before the
        crash, so that its target may have dropped it
    :param is_waiting: whether no byte of its answer had arrived, so that its
        target may not have begun to run it
    """

    suspect: str
    start: str
    at: float
    depth: int
    is_repeat: bool
    is_abandoned: bool = False
    is_waiting: bool = False

    @property
    def key(self) -> str:
        """Return the key of the record in the store."""
        start = xxh64_hexdigest(self.start.encode())
        kind = int(self.is_repeat) + 2 * int(self.is_abandoned)
        kind += 4 * int(self.is_waiting)
        return f'{self.suspect}/{start}/{kind}'


class CrashRecords:
    """Combines the records of all routers."""

    def __init__(self) -> None:
        """Start without a record.

        ``changes`` counts the changes, so that others notice them.
        """
        self.changes = 0
        self._records_by_key: dict[str, CrashRecord] = {}
        self._keys_by_suspect: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_key)

    def of_frequent(self, least: int) -> tuple[CrashRecord, ...]:
        """Return the records of the suspects that have some number of them.

        Most suspects ran beside one crash only.
        """
        return tuple(
            self._records_by_key[key]
            for keys in self._keys_by_suspect.values()
            if len(keys) >= least
            for key in keys
        )

    def put(self, record: CrashRecord) -> None:
        """Store a record."""
        self.changes += 1
        self._records_by_key[record.key] = record
        self._keys_by_suspect.setdefault(record.suspect, set()).add(record.key)

    def remove(self, key: str) -> None:
        """Drop a record that was withdrawn."""
        record = self._records_by_key.pop(key, None)
        if record is None:
            return
        self.changes += 1
        keys = self._keys_by_suspect[record.suspect]
        keys.discard(key)
        if not keys:
            self._keys_by_suspect.pop(record.suspect)

    def get(self, key: str) -> CrashRecord | None:
        """Return a record, ``None`` if there is none."""
        return self._records_by_key.get(key)

    def clear(self) -> None:
        """Drop all records."""
        self.changes += 1
        self._records_by_key.clear()
        self._keys_by_suspect.clear()

    def has(self, suspect: CrashSuspect) -> bool:
        """Return whether a target has crashed under a suspect."""
        return suspect.key in self._keys_by_suspect

    def keys_of(self, suspects: Iterable[CrashSuspect]) -> tuple[str, ...]:
        """Return the keys of the records of some suspects."""
        return tuple(
            key
            for suspect in suspects
            for key in sorted(self._keys_by_suspect.get(suspect.key, ()))
        )

    def abandoned_keys_of(self, suspect: CrashSuspect) -> list[str]:
        """Return the keys of what abandoned runs tell about a suspect."""
        keys = self._keys_by_suspect.get(suspect.key, ())
        return [key for key in keys if self._records_by_key[key].is_abandoned]

    def is_doubtful(self, suspect: str) -> bool:
        """Return whether a suspect is blamed for abandoned runs mostly."""
        records = (
            self._records_by_key[key]
            for key in self._keys_by_suspect.get(suspect, ())
        )
        starts = {each.start for each in records if not each.is_abandoned}
        return len(starts) < SURE_CRASHES

    def expired_keys(self, now: float) -> tuple[str, ...]:
        """Return the keys of the records that are too old.

        :param now: time of day in seconds
        """
        return tuple(
            key
            for key, record in self._records_by_key.items()
            if now - record.at > RECORD_AGE_S
        )

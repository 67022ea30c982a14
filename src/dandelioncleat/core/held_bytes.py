"""Bounds the bytes of peers that a process keeps at the same time."""

from collections import Counter

# Memory of a process whose settings don't tell it, in MiB.
DEFAULT_MEMORY_MB = 128.0
# A body is kept up to three times for a moment: as it is read, as it is passed
# on, and in the buffer of a connection. The rest is for the process itself.
POOL_SHARE = 1 / 12
# What the process needs for itself, in MiB. A pool takes no more than this
# share of what is left, as the memory of bodies is not given back at once.
PROCESS_MB = 64.0
SPARE_SHARE = 1 / 6
# Even the smallest process reads a body of some length.
MIN_POOL_MB = 1.0
# One peer may fill this part of a pool, so that others find room.
PEER_SHARE = 0.5
# Every message may have this much without a share of the pool, in bytes.
FREE_BYTES = 16 * 1024
_BYTES_PER_MB = 1024 * 1024


def pool_bytes(memory_mb: float) -> int:
    """Return the size of one pool of a process.

    :param memory_mb: memory of the process, in MiB
    """
    spare_mb = SPARE_SHARE * (memory_mb - PROCESS_MB)
    pool_mb = max(MIN_POOL_MB, min(POOL_SHARE * memory_mb, spare_mb))
    return int(pool_mb * _BYTES_PER_MB)


class HeldBytes:
    """A pool of bytes that the messages of all peers share."""

    def __init__(self, memory_mb: float) -> None:
        """Initialise with the memory of the process, in MiB."""
        self._most = pool_bytes(memory_mb)
        self._held = 0
        self._held_by_peer: Counter[str] = Counter()

    @property
    def held(self) -> int:
        """Return how many bytes are held."""
        return self._held

    def take(self, peer: str, count: int, *, is_shared: bool) -> bool:
        """Take some bytes; return whether there was room.

        :param is_shared: whether other peers need a part of the pool, too
        """
        share = PEER_SHARE if is_shared else 1
        if self._held + count > self._most:
            return False
        if self._held_by_peer[peer] + count > share * self._most:
            return False
        self._held += count
        self._held_by_peer[peer] += count
        return True

    def give_back(self, peer: str, count: int) -> None:
        """Give back bytes that were taken."""
        self._held -= count
        self._held_by_peer[peer] -= count
        if not self._held_by_peer[peer]:
            self._held_by_peer.pop(peer)


class HeldMessage:
    """What one message holds of a pool."""

    def __init__(
        self, pool: HeldBytes, peer: str, *, is_shared: bool = True
    ) -> None:
        """Initialise without bytes.

        :param peer: who sends the message
        :param is_shared: whether a peer may fill a part of the pool only
        """
        self._pool = pool
        self._peer = peer
        self._is_shared = is_shared
        self._taken = 0

    def grow_to(self, size: int) -> bool:
        """Hold a message of some size; return whether there is room.

        :param size: number of bytes that have arrived
        """
        wanted = max(0, size - FREE_BYTES) - self._taken
        if wanted <= 0:
            return True
        if not self._pool.take(self._peer, wanted, is_shared=self._is_shared):
            return False
        self._taken += wanted
        return True

    def shrink_to(self, size: int) -> None:
        """Give back what a message of some size does not need."""
        surplus = self._taken - max(0, size - FREE_BYTES)
        if surplus > 0:
            self._pool.give_back(self._peer, surplus)
            self._taken -= surplus

    def release(self) -> None:
        """Give everything back."""
        self.shrink_to(0)


class HeldAnswers:
    """What one request holds of a pool for the answers to it."""

    def __init__(self, pool: HeldBytes) -> None:
        """Initialise without an answer."""
        self._pool = pool
        self._answers: list[HeldMessage] = []

    def begin(self, peer: str) -> HeldMessage:
        """Return what holds the next answer.

        :param peer: the target or router that answers
        """
        answer = HeldMessage(self._pool, peer)
        self._answers.append(answer)
        return answer

    def release(self) -> None:
        """Give everything back."""
        for answer in self._answers:
            answer.release()

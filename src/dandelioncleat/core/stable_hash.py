"""A hash that is equal in all processes, for rendezvous hashing."""

from xxhash import xxh64_intdigest


def stable_hash(text: str) -> int:
    """Return a uniformly distributed 64-bit hash of a text."""
    return xxh64_intdigest(text.encode())

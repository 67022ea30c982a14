"""Numbers that all processes draw alike from a text."""

from xxhash import xxh64_intdigest


def stable_hash(text: str) -> int:
    """Return a number that is spread evenly over 64 bits."""
    return xxh64_intdigest(text.encode())

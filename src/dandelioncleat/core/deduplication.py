"""Drops repeated envelopes by their producers' sequence numbers."""

from dandelioncleat.core.identity import Incarnation


class DuplicateFilter:
    """Remembers the highest sequence number read from each producer."""

    def __init__(self) -> None:
        """Start with no producer."""
        self.highest_by_producer: dict[Incarnation, int] = {}

    def admit(self, producer: Incarnation, sequence: int) -> bool:
        """Return whether an envelope is new, and remember it."""
        if sequence <= self.highest_by_producer.get(producer, 0):
            return False
        self.highest_by_producer[producer] = sequence
        return True

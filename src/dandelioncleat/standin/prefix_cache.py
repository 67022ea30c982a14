"""The prefix cache of a model engine and the feed of its changes."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from dandelioncleat.core.identity import Digest
from dandelioncleat.ports.target import CacheEvents

MAX_EVENTS = 4096


class Prefix(NamedTuple):
    """A prompt's prefix; ``tokens`` excludes the next shorter one."""

    digest: Digest
    tokens: int


class CacheEvent(NamedTuple):
    """A prefix that was stored or evicted; ``lost`` hides the event."""

    happened_at: float
    digest: Digest
    stored: bool
    lost: bool


class EventFeed:
    """Publishes cache events, with simulated delay and loss.

    :param lag_s: delay of the events in seconds
    :param gap_share: share of the events that are lost
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        generator: random.Random,
    ) -> None:
        """Start without delay or loss."""
        self.lag_s: float = 0
        self.gap_share: float = 0
        self._now = now
        self._generator = generator
        self._first = 0
        self._events: list[CacheEvent] = []

    def publish(self, digest: Digest, *, stored: bool) -> None:
        """Add an event."""
        lost = self._generator.random() < self.gap_share
        self._events.append(CacheEvent(self._now(), digest, stored, lost))
        if len(self._events) > MAX_EVENTS:
            self._events.pop(0)
            self._first += 1

    def read(self, start: int) -> CacheEvents:
        """Return the published events from a position on."""
        published_until = self._now() - self.lag_s
        first = max(start - self._first, 0)
        events = [
            event
            for event in self._events[first:]
            if event.happened_at <= published_until
        ]
        return CacheEvents(
            end=self._first + first + len(events),
            gap=start < self._first or any(event.lost for event in events),
            stored=_digests(events, stored=True),
            evicted=_digests(events, stored=False),
        )


class PrefixCache:
    """Keeps prefixes and evicts the least recently used ones."""

    def __init__(self, feed: EventFeed) -> None:
        """Start empty."""
        self.tokens = 0
        self._feed = feed
        self._tokens_by_digest: OrderedDict[Digest, int] = OrderedDict()

    def hit_tokens(self, prefixes: tuple[Prefix, ...]) -> int:
        """Count the tokens of the longest cached prefix and mark it used."""
        cached_tokens = 0
        found: list[Digest] = []
        for prefix in prefixes:
            if prefix.digest not in self._tokens_by_digest:
                break
            cached_tokens += prefix.tokens
            found.append(prefix.digest)
        for digest in reversed(found):
            self._tokens_by_digest.move_to_end(digest)
        return cached_tokens

    def store(self, prefixes: tuple[Prefix, ...], capacity: int) -> None:
        """Store a prompt's prefixes, as many as fit."""
        for prefix in reversed(prefixes):
            if prefix.digest in self._tokens_by_digest:
                self._tokens_by_digest.move_to_end(prefix.digest)
                continue
            self._tokens_by_digest[prefix.digest] = prefix.tokens
            self.tokens += prefix.tokens
            self._feed.publish(prefix.digest, stored=True)
        self.shrink(capacity)

    def shrink(self, capacity: int) -> None:
        """Evict until the rest takes at most ``capacity`` tokens."""
        while self.tokens > capacity and self._tokens_by_digest:
            digest, tokens = self._tokens_by_digest.popitem(last=False)
            self.tokens -= tokens
            self._feed.publish(digest, stored=False)

    def clear(self) -> None:
        """Drop all prefixes without events, as a crash does."""
        self._tokens_by_digest.clear()
        self.tokens = 0


def _digests(
    events: list[CacheEvent],
    *,
    stored: bool,
) -> tuple[Digest, ...]:
    return tuple(
        event.digest
        for event in events
        if event.stored is stored and not event.lost
    )

"""The age of what is known of a topic.

It counts from when the store must have made an answer, not from when the
answer was handled: it may have waited in a socket while the process stood
still.
"""

import asyncio
from collections.abc import Callable
from math import inf, isfinite
from typing import Protocol

from dandelioncleat.ports.store import KeyedPage


class AgedTopic(Protocol):
    """What is known of a topic, with its age."""

    @property
    def age_s(self) -> float:
        """Return for how long changes may be unknown, in seconds."""

    async def confirm(self, *, max_age_s: float) -> bool:
        """Read the topic if what is known is older than ``max_age_s``.

        Returns whether it is not older any more. Takes some tenths of a second
        at most, and no time while the store does not answer.
        """


class TopicAge:
    """Keeps the moment up to which all changes of a topic are known."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Initialise for a topic of which nothing is known.

        :param clock: returns the time in seconds; that of the event loop by
            default
        """
        self.now = clock or _loop_time
        self._known_at = -inf

    @property
    def age_s(self) -> float:
        """Return for how long changes may be unknown, in seconds."""
        return self.now() - self._known_at

    def includes(self, moment: float) -> bool:
        """Return whether all changes until a moment are known."""
        return self._known_at >= moment

    def note_snapshot(self, sent_at: float) -> None:
        """Note that all records were read by a call sent at a moment."""
        self._known_at = max(self._known_at, sent_at)

    def note_page(
        self, page: KeyedPage, *, sent_at: float, wait_s: float
    ) -> None:
        """Note the answer to a read that waited for records.

        The store makes an empty page only after the wait.

        :param wait_s: time that the read waited if there were none, in seconds
        """
        made_at = sent_at if page.records else sent_at + wait_s
        self._known_at = max(self._known_at, min(made_at, self.now()))


def rounded_age_s(topic: AgedTopic) -> float | None:
    """Return a topic's age for a log line, ``None`` if it was never read."""
    age_s = topic.age_s
    return round(age_s, 2) if isfinite(age_s) else None


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

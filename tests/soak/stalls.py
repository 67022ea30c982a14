"""Notices when the process that plays a soak stands still.

Its callers then leave at their time limits, whatever the programs do, and the
time that is left shows nothing.
"""

import asyncio
import contextlib
import sys
import threading
import time
import traceback
from typing import NamedTuple

BEAT_S = 0.05
# The shortest time limit of a caller is a little longer.
STALL_S = 0.5
SHOWN_FRAMES = 3


class Stall(NamedTuple):
    """A time in which the event loop did not run.

    ``began_at`` is monotonic, in seconds. ``is_whole`` says that no other
    thread ran either, so that the process had no processor; else ``where``
    has the innermost frames of the loop.
    """

    began_at: float
    length_s: float
    is_whole: bool
    where: str


class StallWatch:
    """Watches the running event loop from a thread; an async context."""

    def __init__(self):
        """Initialise; nothing is watched yet."""
        self.stalls = []
        self._where = ''
        self._beat_at = time.monotonic()
        self._ends = threading.Event()
        self._loop_thread = threading.get_ident()
        self._beating = None
        self._thread = threading.Thread(target=self._watch, daemon=True)

    async def __aenter__(self):
        """Begin to watch."""
        self._beat_at = time.monotonic()
        self._beating = asyncio.create_task(self._keep_beating())
        self._thread.start()
        return self

    async def __aexit__(self, *_):
        """End the watch."""
        self._ends.set()
        self._beating.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._beating

    @property
    def stalled_s(self):
        """Return how long the loop has stood still, in seconds."""
        self._beat()
        return sum(each.length_s for each in self.stalls)

    async def _keep_beating(self):
        while True:
            self._beat()
            await asyncio.sleep(BEAT_S)

    def _beat(self):
        began_at, self._beat_at = self._beat_at, time.monotonic()
        where, self._where = self._where, ''
        length_s = self._beat_at - began_at
        if length_s > STALL_S:
            self.stalls.append(Stall(began_at, length_s, not where, where))

    def _watch(self):
        while not self._ends.wait(BEAT_S):
            passed_s = time.monotonic() - self._beat_at
            # A thread that was stopped with the loop sees it once, afterwards.
            if STALL_S / 2 < passed_s < STALL_S:
                self._where = self._innermost_frames()

    def _innermost_frames(self):
        frame = sys._current_frames()[self._loop_thread]
        found = traceback.extract_stack(frame)[-SHOWN_FRAMES:]
        return ' < '.join(
            f'{each.filename}:{each.lineno}' for each in reversed(found)
        )

"""The base of tests that play crowds before real processes."""

import asyncio
import tempfile

import testtools

from tests.builders.programs import built_programs
from tests.soak.crowds import MAX_FDS, MEMORY_MB, play_at, running_fleet


class CrowdCase(testtools.TestCase):
    """Checks that a process lives within its limits, and serves others."""

    def new_folder(self):
        """Return a folder that lives as long as the test."""
        folder = tempfile.TemporaryDirectory(prefix='crowd-')
        self.addCleanup(folder.cleanup)
        return folder.name

    def play_in_turn(self, place, crowds_by_name):
        """Play crowds one after the other before the same processes."""
        built_programs(self)

        async def scenario():
            async with running_fleet(self.new_folder()) as places:
                for name, crowd in crowds_by_name.items():
                    self.check(name, await play_at(places[place], crowd))

        asyncio.run(scenario())

    def check(self, name, verdict, *, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
        """Check what a crowd did.

        :param memory_mb: what the process may take, in MiB
        """
        text = f'{name}: {verdict}'
        self.assertTrue(verdict.is_alive, text)
        self.assertLess(verdict.peak_mb, memory_mb, text)
        self.assertLess(verdict.peak_fds, max_fds, text)
        self.assertTrue(verdict.is_answered, text)

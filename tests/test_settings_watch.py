"""Tests of the reload of a changed settings file."""

import tempfile
from pathlib import Path

import testtools
from returns.result import Failure, Success

from dandelioncleat.daemons.settings_watch import SettingsWatch


class SettingsWatchTest(testtools.TestCase):
    """Valid new settings are applied; invalid ones change nothing."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings'
        self.path.write_text('one')
        self.applied = []
        self.watch = SettingsWatch(
            self.path, 'one', load=self._load, on_change=self.applied.append
        )

    def _load(self, path):
        text = path.read_text()
        return Failure('no settings') if text == 'bad' else Success(text)

    def test_the_same_settings_change_nothing(self):
        self.watch.check()
        self.assertEqual([], self.applied)

    def test_new_settings_are_applied_once(self):
        self.path.write_text('two')
        self.watch.check()
        self.watch.check()
        self.assertEqual(['two'], self.applied)

    def test_settings_with_errors_change_nothing(self):
        self.path.write_text('bad')
        self.watch.check()
        self.assertEqual([], self.applied)

    def test_a_change_without_a_signal_is_seen(self):
        self.assertFalse(self.watch.is_stale())
        self.path.write_text('three')
        self.assertTrue(self.watch.is_stale())
        self.watch.check()
        self.assertFalse(self.watch.is_stale())

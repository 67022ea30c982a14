"""Tests of keys scoped by service and by idempotency."""

import testtools

from dandelioncleat.core.scoped_key import caller_key, scoped_key


class ScopedKeyTest(testtools.TestCase):
    """Scopes keep keys apart and give the caller's own key back."""

    def test_round_trip_of_any_key(self):
        for key in ('k', '', 'a/b', 'billing/once/k', '/any/'):
            for idempotent in (True, False):
                scoped = scoped_key(key, 'billing', idempotent=idempotent)
                self.assertEqual(key, caller_key(scoped))

    def test_scopes_differ(self):
        keys = {
            scoped_key('k', service, idempotent=idempotent)
            for service in ('billing', 'dues')
            for idempotent in (True, False)
        }
        self.assertEqual(4, len(keys))

    def test_key_without_a_scope_is_unchanged(self):
        self.assertEqual('a/b/c', caller_key('a/b/c'))

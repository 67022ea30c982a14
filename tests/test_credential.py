"""Tests of bearer keys."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dandelioncleat.core.credential import CredentialIndex, verify_key
from tests.builders.configuration import build_configuration, build_key


class CredentialTest(TestCase):
    """Keys of callers and of operators are valid for their own role only."""

    def setUp(self):
        super().setUp()
        self.index = CredentialIndex(build_configuration())
        self.caller = build_key(1).text
        self.operator = build_key(2).text

    def test_each_key_is_valid_for_its_role(self):
        self.assertEqual('agent-1', self.index.organisation_of(self.caller))
        self.assertEqual('siti', self.index.operator_of(self.operator))

    def test_no_key_is_valid_for_the_other_role(self):
        self.assertIsNone(self.index.operator_of(self.caller))
        self.assertIsNone(self.index.organisation_of(self.operator))

    def test_hash_holds_no_key_and_verifies(self):
        generated = build_key(1)
        secret = generated.text.split('_')[2]
        self.assertNotIn(secret, repr(generated.entry))
        self.assertTrue(verify_key(generated.text, generated.entry))
        self.assertFalse(verify_key(build_key(3).text, generated.entry))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.text())
    def test_any_other_text_belongs_to_nobody(self, text):
        salt = build_key(1).entry.salt
        for guess in (text, f'dlc_{salt}_{text}'):
            self.assertIsNone(self.index.organisation_of(guess))

"""Tests of the fold of the configuration stream."""

import copy
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from testtools import TestCase

from dandelioncleat.core.configuration import empty_configuration
from dandelioncleat.core.configuration_history import (
    MAX_VERDICTS_KEPT,
    MAX_VERSIONS_KEPT,
    ConfigurationFold,
)
from dandelioncleat.core.patch import decode_body
from dandelioncleat.core.patch_verdict import (
    PatchAccepted,
    PatchConflict,
    PatchInvalid,
    PatchReused,
)
from tests.builders.configuration import (
    apply,
    build_document,
    build_entry,
    build_fold,
    build_patch,
)


class ConcurrentPatchTest(TestCase):
    """Of several patches against one version, exactly one is accepted."""

    def test_first_patch_wins_and_the_other_conflicts(self):
        fold = ConfigurationFold()
        first = apply(fold, build_patch(build_document(), operator='siti'))
        other = build_patch({'policy': {'subset_size': 3}}, patch='patch-2')
        second = apply(fold, other)
        self.assertEqual(1, first.version)
        self.assertEqual(PatchConflict(0, 1, 'patch-1', 'siti'), second)
        self.assertEqual(12, fold.current.policy.subset_size)

    def test_same_patch_again_has_the_same_verdict_and_one_effect(self):
        fold = ConfigurationFold()
        patch = build_patch(build_document())
        verdicts = {apply(fold, patch), apply(fold, patch)}
        self.assertEqual(
            {PatchAccepted(1, fold.current.digest)},
            verdicts,
        )
        self.assertEqual(1, fold.current.version)

    def test_id_of_another_patch_is_refused(self):
        fold = build_fold(build_document())
        other = build_patch(
            {'policy': {'subset_size': 3}}, against=1, patch='patch-1'
        )
        self.assertEqual(PatchReused('patch-1'), apply(fold, other))
        self.assertEqual(1, fold.current.version)

    def test_forgotten_patch_has_no_second_effect(self):
        fold = ConfigurationFold()
        patch = build_patch(build_document())
        apply(fold, patch)
        for number in range(MAX_VERDICTS_KEPT):
            apply(fold, build_patch({}, against=9, patch=f'other-{number}'))
        self.assertNotIn('patch-1', fold.known_by_patch)
        self.assertIsInstance(apply(fold, patch), PatchConflict)
        self.assertEqual(1, fold.current.version)

    def test_patch_against_a_future_version_never_takes_effect(self):
        fold = ConfigurationFold()
        early = build_patch(
            {'policy': {'subset_size': 3}}, against=1, patch='early'
        )
        verdicts = [apply(fold, early)]
        apply(fold, build_patch(build_document()))
        verdicts.append(apply(fold, early))
        self.assertEqual([PatchConflict(1, 0, '', '')] * 2, verdicts)


class InvalidPatchTest(TestCase):
    """An invalid patch is rejected with every error and changes nothing."""

    def _defects(self, document, *before):
        fold = build_fold(*before)
        state = fold.current
        verdict = apply(
            fold, build_patch(document, against=len(before), patch='bad')
        )
        self.assertIsInstance(verdict, PatchInvalid)
        self.assertIs(state, fold.current)
        return {defect.key: defect.expected for defect in verdict.defects}

    def test_reports_every_error_of_the_document(self):
        document = build_document()
        document['services']['dues-llm']['slots'] = 'many'
        document['services']['billing-app']['colour'] = 'red'
        document['targets']['No Such Name'] = {}
        document['organisations']['agent-1']['budget'] = -1
        document['policy']['grant_share'] = 2
        document['extra'] = 1
        self.assertEqual(
            [
                'extra',
                'organisations.agent-1.budget',
                'policy.grant_share',
                'services.billing-app.colour',
                'services.dues-llm.slots',
                'targets.No Such Name.[key]',
            ],
            sorted(self._defects(document)),
        )

    def test_reports_every_broken_reference(self):
        document = {
            'services': {'dues-llm': None, 'gone': None, 'new': {}},
            'targets': {'t': {'service': 'none', 'data_centre': 'x'}, 'u': {}},
            'organisations': {'agent-1': {'services': ['none'], 'budget': 5}},
            'operators': {'eve': build_entry(1), 'siti': None},
            'policy': {'ledger_shards': 3},
        }
        self.assertEqual(
            [
                'operators.eve',
                'organisations.agent-1.budget',
                'organisations.agent-1.credentials.0',
                'organisations.agent-1.services',
                'policy.ledger_shards',
                'services.gone',
                'services.new.kind',
                'targets.dues-1.service',
                'targets.t.service',
                'targets.u.data_centre',
                'targets.u.service',
            ],
            sorted(self._defects(document, build_document())),
        )

    def test_one_model_belongs_to_one_service(self):
        document = {
            'services': {
                'a': {'kind': 'model', 'models': ['dues-1']},
                'b': {'kind': 'model'},
                'c': {'kind': 'plain', 'models': ['x']},
            },
        }
        self.assertEqual(
            ['services.b.models', 'services.c.models', 'services.dues-llm.m'],
            sorted(
                key[:19] for key in self._defects(document, build_document())
            ),
        )

    def test_kind_and_slots_of_a_service_are_fixed(self):
        document = {
            'services': {
                'billing-app': {'kind': 'model', 'models': ['m'], 'slots': 7},
            },
        }
        self.assertEqual(
            ['services.billing-app.kind', 'services.billing-app.slots'],
            sorted(self._defects(document, build_document())),
        )

    def test_last_operator_cannot_be_removed(self):
        document = {'operators': {'siti': None}}
        defects = self._defects(document, build_document())
        self.assertEqual(['operators'], list(defects))

    def test_repeated_key_and_empty_patch_are_reported(self):
        self.assertIn('patch', self._defects({}))
        repeated = b'{"policy": {"subset_size": 1, "subset_size": 2}}'
        self.assertIn('subset_size', self._defects(repeated))

    def test_hides_credentials(self):
        document = {'operators': {'eve': {'salt': 'x', 'digest': 'password'}}}
        fold = ConfigurationFold()
        verdict = apply(fold, build_patch(document))
        self.assertNotIn('password', repr(verdict))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary() | st.text().map(str.encode))
    def test_any_bytes_are_refused_or_decoded(self, body):
        decode_body(body).value_or(None)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(),
            lambda part: (
                st.lists(part)
                | st.dictionaries(
                    st.sampled_from(
                        ['services', 'policy', 'targets', 'a', 'kind', 'slots']
                    ),
                    part,
                )
            ),
        )
    )
    def test_any_document_has_a_verdict(self, document):
        fold = ConfigurationFold()
        verdict = apply(fold, build_patch(json.dumps(document).encode()))
        accepted = isinstance(verdict, PatchAccepted)
        self.assertEqual(int(accepted), fold.current.version)


class MergeTest(TestCase):
    """A patch changes the fields that it states."""

    def test_patch_changes_and_removes_entries(self):
        fold = build_fold(
            build_document(),
            {
                'services': {'dues-llm': {'queue_limit': 2}},
                'targets': {'billing-1': None, 'dues-1': {'drain': True}},
            },
        )
        service = fold.current.services_by_name['dues-llm']
        self.assertEqual(
            (2, ('dues-1',)), (service.queue_limit, service.models)
        )
        self.assertEqual(['dues-1'], list(fold.current.targets_by_name))
        self.assertTrue(fold.current.targets_by_name['dues-1'].drain)


class HistoryTest(TestCase):
    """The history is bounded and survives a checkpoint."""

    def test_forgets_the_oldest_versions(self):
        size = MAX_VERSIONS_KEPT + 5
        documents = [
            {'policy': {'subset_size': number + 1}} for number in range(size)
        ]
        fold = build_fold(*documents)
        history = fold.history
        self.assertEqual(MAX_VERSIONS_KEPT, len(history.entries_by_version))
        self.assertIsNone(history.at(4))
        self.assertEqual(5, history.at(5).policy.subset_size)
        self.assertEqual(fold.current, history.at(size))
        self.assertIsNone(history.after(4))
        self.assertEqual(1, len(history.after(size - 1)))


class ConfigurationMachine(RuleBasedStateMachine):
    """Compares the fold with a list of the accepted patches.

    Some folds are restarted from a checkpoint; all must agree.
    """

    @initialize()
    def start(self):
        self.fold = ConfigurationFold()
        self.restarted = ConfigurationFold()
        self.winners = []
        self.log = []
        self.first_verdict_by_patch = {}

    @rule(
        against=st.integers(-1, 1),
        number=st.integers(0, 30),
        document=st.sampled_from(
            [
                build_document(),
                {'policy': {'subset_size': 5}},
                {'targets': {'dues-1': {'drain': True}}},
                {'targets': {'dues-1': None}},
                {'services': {'dues-llm': None}},
                {'services': {'x': {'kind': 'nothing'}}},
            ]
        ),
    )
    def submit(self, against, number, document):
        self._append(
            build_patch(
                copy.deepcopy(document),
                against=max(0, len(self.winners) + against),
                patch=f'patch-{number}',
            )
        )

    @rule(place=st.integers(0, 100))
    def answer_lost(self, place):
        if self.log:
            self._append(self.log[place % len(self.log)])

    @rule()
    def restart_from_checkpoint(self):
        fold = ConfigurationFold()
        fold.restore(self.restarted.snapshot())
        self.restarted = fold

    def _append(self, patch):
        self.log.append(patch)
        before = self.fold.current
        verdict = apply(self.fold, patch, offset=len(self.log))
        assert verdict == apply(self.restarted, patch, offset=len(self.log))
        if isinstance(verdict, PatchReused):
            assert self.fold.current is before
            return
        first = self.first_verdict_by_patch.setdefault(patch.patch, verdict)
        assert first == verdict
        if self.fold.current is not before:
            assert patch.against == before.version == len(self.winners)
            assert patch.patch not in self.winners
            assert verdict.version == before.version + 1
            self.winners.append(patch.patch)

    @invariant()
    def agrees_with_the_winners(self):
        assert self.fold.current.version == len(self.winners)
        assert self.fold.current == self.restarted.current
        entries = self.fold.history.after(0)
        assert self.winners == [entry.patch.patch for entry in entries]
        if not self.winners:
            assert self.fold.current == empty_configuration()


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)

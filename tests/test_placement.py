"""Tests of placement decisions and of a router's record of a target."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from testtools import TestCase

from dandelioncleat.app.target_record import SentRun, TargetRecord
from dandelioncleat.core.identity import Digest, Incarnation
from dandelioncleat.core.message import Load
from dandelioncleat.core.placement import (
    POLICIES_BY_NAME,
    PREFIX_AGE_S,
    Candidate,
    PlacementContext,
    affinity,
    choose,
    has_free_slot,
    load_with_prefill,
    relative_demand,
    score,
    subset,
)
from dandelioncleat.core.record import Join

PREFIXES = tuple(Digest(f'p{number}') for number in range(4))
CANDIDATES = st.lists(
    st.builds(
        Candidate,
        sidecar=st.uuids().map(str),
        target=st.just('t'),
        data_centre=st.sampled_from(('a', 'b')),
        slots=st.integers(0, 8),
        occupancy=st.integers(0, 10),
        reported=st.integers(0, 10),
        demand_tokens=st.integers(0, 100),
        kv_tokens=st.integers(0, 100),
        waiting_tokens=st.integers(0, 40_000),
        age_s=st.floats(0, 60),
        prefixes=st.sets(st.sampled_from(PREFIXES)),
    ),
    max_size=12,
)
NAMES = st.sets(st.integers(0, 10**6).map(str), min_size=1, max_size=60)


LOADS_BY_POLICY = {
    'two_choices': load_with_prefill,
    'kv_demand': relative_demand,
}


def placement_context(seed: int = 1, prefixes=PREFIXES) -> PlacementContext:
    return PlacementContext('a', prefixes, seed, random.Random(seed))


class ChooseTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(CANDIDATES, st.sampled_from(sorted(POLICIES_BY_NAME)), st.integers())
    def test_chooses_a_free_target_and_leaves_the_data_centre_for_a_score(
        self, candidates, policy, seed
    ) -> None:
        now = placement_context(seed)
        choice = choose(policy, candidates, now)
        free = [each for each in candidates if has_free_slot(each)]
        if not free:
            self.assertFalse(is_successful(choice))
            return
        chosen = choice.unwrap()
        self.assertIn(chosen, free)
        own = [each for each in free if each.data_centre == 'a']
        if not own or chosen.data_centre == 'a':
            return
        load = LOADS_BY_POLICY.get(policy)
        self.assertIsNotNone(load, 'a baseline left its data centre')
        worst = max(score(each, context=now, load=load) for each in own)
        self.assertLessEqual(score(chosen, context=now, load=load), worst)

    def test_stays_in_the_own_data_centre_at_equal_load(self) -> None:
        candidates = [
            Candidate(Incarnation(str(number)), 't', place, 9, 4)
            for number, place in enumerate('bbabb')
        ]
        for policy in POLICIES_BY_NAME:
            choice = choose(policy, candidates, placement_context(prefixes=()))
            self.assertEqual('a', choice.unwrap().data_centre)

    def test_unknown_policy_is_the_default(self) -> None:
        candidates = [
            Candidate(Incarnation(str(number)), 't', 'a', 9, number)
            for number in range(8)
        ]
        self.assertEqual(
            choose('two_choices', candidates, placement_context()),
            choose('no such policy', candidates, placement_context()),
        )

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.sets(st.sampled_from(PREFIXES)),
        st.sets(st.sampled_from(PREFIXES)),
        st.floats(0, 60),
        st.floats(0, 60),
    )
    def test_late_or_lost_cache_events_only_lower_affinity(
        self, cached, lost, age_s, later_s
    ) -> None:
        fresh = Candidate(
            Incarnation('x'), 't', 'a', 1, 0, age_s=age_s, prefixes=cached
        )
        stale = fresh._replace(
            age_s=age_s + later_s, prefixes=cached.difference(lost)
        )
        strength = affinity(fresh, PREFIXES)
        self.assertLessEqual(affinity(stale, PREFIXES), strength)
        self.assertTrue(0 <= strength <= 1)
        old = fresh._replace(age_s=PREFIX_AGE_S)
        self.assertEqual(0, affinity(old, PREFIXES))

    def test_prefix_wins_among_equals_and_loses_to_load(self) -> None:
        plain = Candidate(Incarnation('plain'), 't', 'a', 10, 0)
        others = [plain._replace(sidecar=str(number)) for number in range(20)]
        cached = plain._replace(sidecar='cached', prefixes=set(PREFIXES))
        chosen = choose(
            'two_choices', [*others, cached], placement_context()
        ).unwrap()
        self.assertEqual('cached', chosen.sidecar)
        busy = cached._replace(occupancy=9)
        chosen = choose(
            'two_choices', [*others, busy], placement_context()
        ).unwrap()
        self.assertNotEqual('cached', chosen.sidecar)

    def test_prompts_that_wait_for_prefill_count_as_load(self) -> None:
        idle = Candidate(Incarnation('idle'), 't', 'a', 8, 1)
        busy = idle._replace(sidecar='busy', waiting_tokens=12_000)
        choice = choose('two_choices', [busy, idle], placement_context())
        self.assertEqual('idle', choice.unwrap().sidecar)


class SubsetTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(NAMES, st.integers(1, 20), st.text(max_size=5))
    def test_is_bounded_and_stable(self, names, size, router) -> None:
        before = subset(router, names, size)
        self.assertEqual(min(size, len(names)), len(before))
        gone = before[0]
        after = subset(router, names - {gone}, size)
        self.assertLessEqual(len(set(after) - set(before)), 1)
        self.assertEqual(before[1:], after[: len(before) - 1])

    def test_many_routers_cover_all_targets(self) -> None:
        targets = [f't{number}' for number in range(120)]
        counts = dict.fromkeys(targets, 0)
        for router in range(68):
            for target in subset(f'r{router}', targets, 12):
                counts[target] += 1
        self.assertGreater(min(counts.values()), 0)
        self.assertLess(max(counts.values()), 4 * 68 * 12 / 120)


class TargetRecordTest(TestCase):
    def new_record(self, *, running: int, age_ms: int = 0) -> TargetRecord:
        record = TargetRecord(
            Join(Incarnation('s/1'), 'sidecar', 'a', 'x:1', 't', 'dues-llm')
        )
        self.load = Load(
            't', record.join.incarnation, False, 8, running, 0, 100, 1000,
            age_ms, (),
        )  # fmt: skip
        return record

    def occupancy(self, record: TargetRecord, now: float) -> float:
        return record.candidate(now).occupancy

    def test_unknown_or_leaving_target_is_no_candidate(self) -> None:
        record = self.new_record(running=1)
        self.assertIsNone(record.candidate(0))
        record.take(self.load, 0)
        self.assertIsNotNone(record.candidate(0))
        record.is_full = True
        self.assertIsNone(record.candidate(0))
        record.take(self.load, 0)
        record.forget_load()
        self.assertIsNone(record.candidate(0))

    def test_report_is_corrected_for_what_was_sent_after_it(self) -> None:
        record = self.new_record(running=2, age_ms=500)
        record.begin(1, SentRun(9.0, 40))
        record.begin(2, SentRun(9.8, 40))
        record.take(self.load, 9.7)
        # The message from 9.7 counts only the first run, and so does the
        # engine's own report from 9.2.
        self.assertEqual(3, self.occupancy(record, 10))
        self.assertEqual(140, record.candidate(10).demand_tokens)
        record.end(1, 10.1)
        self.assertEqual(2, self.occupancy(record, 10.2))
        record.end(2, 10.3)
        self.assertEqual(1, self.occupancy(record, 10.4))

    def test_counts_are_as_new_as_the_message(self) -> None:
        record = self.new_record(running=2, age_ms=5000)
        record.begin(1, SentRun(9.0, 40))
        record.take(self.load, 10)
        # The run is in the counts, but not in the engine's demand.
        self.assertEqual(2, self.occupancy(record, 10))
        self.assertEqual(140, record.candidate(10).demand_tokens)

    def test_prompt_waits_until_the_first_token(self) -> None:
        record = self.new_record(running=1)
        record.take(self.load, 10)
        record.begin(1, SentRun(10.1, 40, unprocessed_tokens=30))
        self.assertEqual(30, record.candidate(11).waiting_tokens)
        record.mark_prompt_processed(1)
        self.assertEqual(0, record.candidate(11).waiting_tokens)
        self.assertEqual(140, record.candidate(11).demand_tokens)

    def test_own_runs_count_whatever_the_report_says(self) -> None:
        record = self.new_record(running=0)
        for ticket in range(5):
            record.begin(ticket, SentRun(1.0, 1))
        record.take(self.load, 2)
        self.assertEqual(5, self.occupancy(record, 2))

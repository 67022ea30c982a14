"""Tests of prompt parts that crash each target that answers them."""

import asyncio

import msgspec
import testtools
from testtools.matchers import LessThan

from dandelioncleat.app.direct.lost_runs import WatchedRun
from dandelioncleat.app.direct.shared_crash_records import CRASHES_TOPIC
from dandelioncleat.core.crash_cause import find_causes
from dandelioncleat.core.crash_records import CrashRecord
from dandelioncleat.core.crash_suspect import (
    MAX_PARTS,
    REQUEST_DEPTH,
    suspects_of,
)
from dandelioncleat.core.direct_request import ModelPrompt, PromptPart
from dandelioncleat.core.quarantine_trial import QuarantineTrials
from tests.builders.crash_storm import play_storm
from tests.builders.direct import (
    MODEL_HEADERS,
    crashed_after,
    events,
    run_with_fleet,
)
from tests.builders.quarantine import (
    list_start,
    request,
    run_with_quarantines,
    target,
    wait_for_crash,
)

# The users allow so many sends later than 3 s after so many crashes.
ALLOWED_CRASHES = 5
ALLOWED_LATE = 3


class RouterTest(testtools.TestCase):
    """A router refuses prompts with a part that crashes targets."""

    def _play(self, prompts):
        """Send prompts in turn; a target with the part ``bad`` crashes.

        Returns the status of each answer.
        """

        async def scenario(fleet):
            statuses = []
            await list_start(fleet, 0, fleet.llm)
            for number, parts in enumerate(prompts, start=1):
                sent = len(fleet.llm.requests)
                fleet.llm.answers = [_answer(fleet.llm)]
                statuses.append(await _call(fleet, number, parts))
                has_run = len(fleet.llm.requests) > sent
                if 'bad' in parts and has_run:
                    await wait_for_crash(fleet, fleet.llm, number - 1)
                    await fleet.llm.start()
                await list_start(fleet, number, fleet.llm)
            return statuses

        return run_with_fleet(scenario)

    def test_part_that_crashed_five_targets_is_refused(self):
        bad = [f'aa:40,bad:30,x{n}:30' for n in range(ALLOWED_CRASHES + 1)]
        self.assertEqual(b'503', self._play(bad)[-1])

    def test_sound_prompts_with_its_neighbours_are_served(self):
        bad = [f'aa:40,bad:30,x{n}:30' for n in range(ALLOWED_CRASHES + 1)]
        sound = 'aa:40,bb:30,y:30'
        statuses = self._play([*bad, sound, bad[0]])
        self.assertEqual([b'200', b'503'], statuses[-2:])


def _answer(target):
    """Return an answer that breaks off with its target at a bad part."""
    broken = crashed_after(target, events(0, 0, cut=True))

    async def answer(request):
        if 'bad' in request.headers['Prompt-Prefix']:
            return await broken(request)
        return await events(0, 2)(request)

    return answer


async def _call(fleet, number, parts):
    """Send a prompt that is like no other; return the answer's status."""
    headers = {**MODEL_HEADERS, 'Prompt-Prefix': parts}
    answer = await fleet.raw_answer(f'/stream/{number}', **headers)
    return answer.head.split()[1]


def _check_storms(case, seeds, **shape):
    """Check that both the bad part and the sound prompts get their due."""
    for seed in seeds:
        report = play_storm(seed, **shape)
        case.assertThat(report.late, LessThan(ALLOWED_LATE + 1))
        case.assertThat(2 * report.refused, LessThan(report.sound))


class StormTest(testtools.TestCase):
    """Prompts with a bad part come at all routers among sound ones."""

    def _check(self, **shape):
        _check_storms(self, range(6), **shape)

    def test_bad_part_behind_one_that_sound_prompts_share(self):
        self._check()

    def test_bad_part_behind_the_first_part_of_all_prompts(self):
        self._check(first_parts=1, documents=2)

    def test_bad_first_part(self):
        self._check(is_first_bad=True)

    def test_prompts_that_wait_for_targets(self):
        self._check(longest_wait_s=2.5)

    def test_few_sound_prompts(self):
        self._check(sound_rate=3)

    def test_rare_bad_prompts(self):
        self._check(bad_rate=0.5, duration_s=40)

    def test_many_targets(self):
        self._check(targets=24, sound_rate=80, bad_rate=8, routers=8)

    def test_crashes_of_another_cause_beside_it(self):
        self._check(crash_at=(0.5, 4, 8, 12), crash_share=0.3)

    def test_several_bad_parts(self):
        self._check(bad_parts=2)


class SilentStormTest(StormTest):
    """The same, where no byte of an answer leaves a target that crashes.

    Only whole requests were blamed for such crashes, of which no two were
    alike, and the parts of the sound answers that the crashes interrupted.
    """

    def _check(self, **shape):
        super()._check(is_silent=True, **shape)


class WholeAnswerStormTest(testtools.TestCase):
    """A target crashes just after it has sent a whole answer.

    Each such answer counted as a success, which withdrew all records of the
    part.
    """

    def _check(self, **shape):
        _check_storms(self, range(4), is_whole=True, **shape)

    def test_one_bad_part(self):
        self._check()

    def test_rare_bad_prompts(self):
        self._check(bad_rate=0.5, duration_s=40)

    def test_many_targets(self):
        self._check(targets=24, sound_rate=80, bad_rate=8, routers=8)


class WrongQuarantineTest(testtools.TestCase):
    """A quarantine that blames the wrong part ends by a trial."""

    def test_first_part_of_all_prompts_is_served_again(self):
        for seed in range(4):
            report = play_storm(
                seed,
                bad_rate=0,
                first_parts=1,
                documents=1,
                crash_at=(3, 6.5, 10, 13.4),
                duration_s=60,
            )
            self.assertThat(2 * report.refused, LessThan(report.sound))

    def test_trials_of_a_bad_part_are_few(self):
        for seed in range(2):
            report = play_storm(seed, duration_s=90)
            self.assertThat(report.late, LessThan(ALLOWED_LATE + 1))


class TrialTest(testtools.TestCase):
    """One host lets a quarantined request run, more rarely each time."""

    def _trials(self, *, is_known, count=4):
        """Return the seconds of all trials in which the hosts ask."""
        cores_by_host = {f'h{number}': 1.0 for number in range(count)}
        hosts = [QuarantineTrials(host) for host in cores_by_host]
        for trials in hosts:
            trials.begin('p', 0, is_known=is_known)
        return [
            now
            for now in range(200)
            for trials in hosts
            if trials.take('p', now, cores_by_host=cores_by_host)
        ]

    def test_what_has_succeeded_before_is_tried_soon(self):
        self.assertEqual([4, 20, 84], self._trials(is_known=True))

    def test_what_never_succeeded_is_tried_late(self):
        self.assertEqual([30, 150], self._trials(is_known=False))

    def test_an_ended_quarantine_is_not_tried(self):
        trials = QuarantineTrials('h0')
        trials.begin('p', 0, is_known=True)
        trials.end('p')
        self.assertFalse(trials.take('p', 99, cores_by_host={'h0': 1.0}))


class CauseTest(testtools.TestCase):
    """Crashes blame their cause and nothing that ran beside it."""

    def _causes(self, *crashes, is_waiting=False, known=(), earlier=()):
        """Return the causes of crashes, given as (suspects, is_repeat).

        :param earlier: suspects that have been causes until now
        :param is_waiting: whether no byte of an answer had arrived
        :param known: suspects that have succeeded before
        """
        records = [
            CrashRecord(
                suspect,
                f'i/{at}',
                at,
                depth,
                is_repeat,
                is_waiting=is_waiting,
            )
            for at, (suspects, is_repeat) in enumerate(crashes)
            for depth, suspect in enumerate(suspects)
        ]
        causes = find_causes(
            records, is_known=set(known).__contains__, earlier=earlier
        )
        return set(causes)

    def test_more_specific_part_of_two_with_equal_crashes(self):
        crash = ('first', 'bad')
        self.assertEqual(
            {'bad'}, self._causes((crash, False), *[(crash, True)] * 2)
        )

    def test_part_that_more_crashes_have_in_common(self):
        documents = ('a', 'b', 'c', 'a', 'a', 'b')
        crashes = [(('bad', each), True) for each in documents]
        self.assertEqual({'bad'}, self._causes(*crashes))

    def test_two_causes(self):
        crashes = [(('a', 'bad'), True), (('b', 'worse'), True)] * 3
        self.assertEqual({'bad', 'worse'}, self._causes(*crashes))

    def test_runs_that_waited_take_one_more_crash(self):
        crash = (('first', 'bad'), True)
        three = self._causes(*[crash] * 3, is_waiting=True)
        self.assertEqual(set(), three)
        four = self._causes(*[crash] * 4, is_waiting=True)
        self.assertEqual({'bad'}, four)

    def test_part_that_has_succeeded_explains_nothing_first(self):
        crashes = [
            (('first', 'bad'), True),
            (('first', 'worse'), True),
        ] * 3
        self.assertEqual({'first'}, self._causes(*crashes))
        known = self._causes(*crashes, known=['first'])
        self.assertEqual({'bad', 'worse'}, known)

    def test_part_that_has_succeeded_may_be_the_cause(self):
        causes = self._causes(*[(('bad',), True)] * 3, known=['bad'])
        self.assertEqual({'bad'}, causes)

    def test_crashes_that_another_cause_explains_add_up(self):
        crashes = [(('bad',), True)] * 8 + [(('worse', 'bad'), True)] * 7
        self.assertEqual({'bad', 'worse'}, self._causes(*crashes))

    def test_one_bad_part_does_not_free_another(self):
        crashes = [(('a', 'bad'), True)] * 4
        both = [(('a', 'bad'), True), (('a', 'worse'), True)] * 4
        self.assertEqual({'bad'}, self._causes(*crashes))
        causes = self._causes(*both, *both, earlier=['bad'], known=['a'])
        self.assertEqual({'bad', 'worse'}, causes)

    def test_part_behind_it_frees_a_first_part(self):
        crash = ('first', 'bad')
        causes = self._causes(*[(crash, True)] * 4, earlier=['first'])
        self.assertEqual({'bad'}, causes)

    def test_crashes_that_no_run_followed_blame_no_part(self):
        crash = (('first', 'bad'), False)
        self.assertEqual(set(), self._causes(*[crash] * 9))

    def test_targets_that_crash_together_blame_no_part(self):
        records = [
            CrashRecord('p', f'i/{number}', 10.0, 0, is_repeat=True)
            for number in range(9)
        ]
        self.assertEqual({}, find_causes(records))


class SuspectTest(testtools.TestCase):
    """A request and the parts that others may share are suspects."""

    def _depths(self, *parts):
        prompt = ModelPrompt('m', 1, 1, tuple(PromptPart(p, 1) for p in parts))
        suspects = suspects_of(request(1)._replace(prompt=prompt))
        return [each.depth for each in suspects]

    def test_last_part_is_none(self):
        self.assertEqual([REQUEST_DEPTH, 0, 1], self._depths('a', 'b', 'c'))

    def test_number_of_parts_is_bounded(self):
        parts = [str(number) for number in range(1000)]
        self.assertEqual(MAX_PARTS + 1, len(self._depths(*parts)))


class RunTest(testtools.TestCase):
    """A lost run blames the parts of its prompt, whatever has arrived of it."""

    def _records(self, **options):
        parts = (PromptPart('aa', 60), PromptPart('bb', 40))
        prompt = ModelPrompt('m', 100, 50, parts)
        lost = request(1)._replace(prompt=prompt)

        async def scenario(fleet):
            fleet.routers[0].note_lost(WatchedRun(lost), target(1), **options)
            await asyncio.sleep(1)
            stored = (await fleet.store.newest(CRASHES_TOPIC)).records
            records = [
                msgspec.msgpack.decode(each.value, type=CrashRecord)
                for each in stored
            ]
            return sorted((each.depth, each.is_waiting) for each in records)

        return run_with_quarantines(scenario)

    def test_answer_that_had_begun(self):
        self.assertEqual(
            [(0, False), (REQUEST_DEPTH, False)], self._records(has_begun=True)
        )

    def test_answer_that_had_not_begun(self):
        self.assertEqual(
            [(0, True), (REQUEST_DEPTH, True)], self._records(has_begun=False)
        )

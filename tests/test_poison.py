"""Tests of the quarantine of requests at whose runs targets crashed."""

from testtools import TestCase

from dandelioncleat.core import poison
from dandelioncleat.core.identity import Digest
from dandelioncleat.core.poison import Quarantine
from dandelioncleat.core.record import Crash

BAD = Digest('bad')
NEIGHBOUR = Digest('neighbour')


class QuarantineTest(TestCase):
    """Crashes count once, for every digest that was running."""

    def test_second_crash_makes_poison(self) -> None:
        quarantine = Quarantine()
        quarantine.record(Crash('llm-1', (BAD, NEIGHBOUR), 'first'))
        self.assertFalse(quarantine.is_poison(BAD, 2))
        quarantine.record(Crash('llm-2', (BAD,), 'second'))
        self.assertTrue(quarantine.is_poison(BAD, 2))
        self.assertFalse(quarantine.is_poison(NEIGHBOUR, 2))

    def test_repeated_record_counts_once(self) -> None:
        quarantine = Quarantine()
        crash = Crash('llm-1', (BAD, BAD), 'first')
        self.assertTrue(quarantine.record(crash))
        self.assertFalse(quarantine.record(crash))
        self.assertEqual(1, quarantine.crashes(BAD))

    def test_absolved_digest_starts_again(self) -> None:
        quarantine = Quarantine()
        quarantine.record(Crash('llm-1', (BAD,), 'first'))
        self.assertTrue(quarantine.absolve(BAD))
        self.assertFalse(quarantine.absolve(BAD))
        self.assertEqual(0, quarantine.crashes(BAD))

    def test_snapshot_restores_counts_and_crashes(self) -> None:
        quarantine = Quarantine()
        crash = Crash('llm-1', (BAD,), 'first')
        quarantine.record(crash)
        restored = Quarantine(quarantine.snapshot())
        self.assertFalse(restored.record(crash))
        self.assertEqual(1, restored.crashes(BAD))

    def test_many_crashes_evict_the_oldest(self) -> None:
        quarantine = Quarantine()
        for number in range(poison.MAX_DIGESTS + 1):
            digest = Digest(f'digest-{number}')
            quarantine.record(Crash('llm-1', (digest,), f'crash-{number}'))
        state = quarantine.snapshot()
        self.assertEqual(poison.MAX_DIGESTS, len(state.counts))
        self.assertEqual(poison.MAX_CRASHES, len(state.crashes))
        self.assertEqual(0, quarantine.crashes(Digest('digest-0')))

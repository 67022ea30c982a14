"""Tests of the log stand-in."""

import asyncio

import testtools

from dandelioncleat.core.failure import Code, FailureError
from dandelioncleat.standin.log import MemoryLog, Retention


class MemoryLogTest(testtools.TestCase):
    """Order, offsets, retention and simulated faults of the log."""

    def test_reads_from_an_offset_in_order(self):
        async def scenario():
            log = MemoryLog()
            for number in range(5):
                await log.append('s', b'%d' % number)
            return await log.read('s', start=2, limit=2)

        page = asyncio.run(scenario())
        self.assertEqual((0, 5), (page.oldest, page.end))
        self.assertEqual([b'2', b'3'], [entry.data for entry in page.entries])
        self.assertEqual([2, 3], [entry.offset for entry in page.entries])

    def test_waiting_read_sees_the_next_append(self):
        async def scenario():
            log = MemoryLog()
            reader = asyncio.create_task(log.read('s', start=0, wait_s=60))
            await asyncio.sleep(0)
            await log.append('s', b'x')
            return await reader

        self.assertEqual(b'x', asyncio.run(scenario()).entries[0].data)

    def test_a_read_that_times_out_is_empty(self):
        async def scenario():
            return await MemoryLog().read('s', start=0, wait_s=0.01)

        self.assertEqual((0, 0, ()), asyncio.run(scenario()))

    def test_retention_by_count_drops_the_oldest_entries(self):
        async def scenario():
            log = MemoryLog(retention=Retention(entries=2))
            for number in range(5):
                await log.append('s', b'%d' % number)
            return await log.read('s', start=0), await log.read('s', start=3)

        dropped, retained = asyncio.run(scenario())
        self.assertEqual((3, 5, ()), dropped)
        self.assertEqual(
            [b'3', b'4'], [entry.data for entry in retained.entries]
        )

    def test_retention_by_age_drops_old_entries(self):
        times = iter((0.0, 9.0, 12.0))

        async def scenario():
            log = MemoryLog(
                retention=Retention(age_s=10), now=lambda: next(times)
            )
            await log.append('s', b'old')
            await log.append('s', b'new')
            return await log.read('s', start=1)

        page = asyncio.run(scenario())
        self.assertEqual((1, 2), (page.oldest, page.end))

    def test_an_append_whose_answer_is_lost_takes_effect(self):
        async def scenario():
            log = MemoryLog()
            log.lost_answer_share = 1
            try:
                await log.append('s', b'x')
            except FailureError as error:
                return error.failure, await log.read('s', start=0)

        failure, page = asyncio.run(scenario())
        self.assertEqual((Code.LOG, 'append'), (failure.code, failure.step))
        self.assertEqual(1, page.end)

    def test_an_outage_fails_pending_reads_and_appends(self):
        async def scenario():
            log = MemoryLog()
            reader = asyncio.create_task(log.read('s', start=0, wait_s=60))
            await asyncio.sleep(0)
            log.outage = True
            return await asyncio.gather(
                reader, log.append('s', b'x'), return_exceptions=True
            )

        for error in asyncio.run(scenario()):
            self.assertEqual(Code.LOG, error.failure.code)

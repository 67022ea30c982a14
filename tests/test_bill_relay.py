"""Tests of bills that a router relays for its data centre."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
from testtools import TestCase
from testtools.matchers import LessThan

from dandelioncleat.adapters import virtual_time
from dandelioncleat.adapters.memory_peers import MemoryNetwork, MemoryPeers
from dandelioncleat.app.bill_relay import (
    MAX_DATA_BYTES,
    MAX_WAITING_BYTES,
    BillRelay,
    BillRelayClient,
    new_bill_handler,
)
from dandelioncleat.app.billing import BillSender
from dandelioncleat.core.configuration import empty_configuration
from dandelioncleat.core.deduplication import SequenceMarks
from dandelioncleat.core.envelope import Envelope, ledger_codec
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.ledger import LedgerFold
from dandelioncleat.core.ledger_verdict import Billed
from dandelioncleat.core.message import (
    Accepted,
    AppendEnvelope,
    AskStatus,
    Refusal,
)
from dandelioncleat.core.relay import RouterPlace, bill_relay_order
from dandelioncleat.core.shard import ledger_stream, shard_of
from dandelioncleat.standin.log import MemoryLog
from tests.builders.ledger import BUDGET, SIDECAR_ONE, bill_of, top_up

BILL_INTERVAL_S = 0.1
LOG_DELAY_S = 0.01
SIDECARS = 6
BILL_TOKENS = 3


class PartitionedLog:
    """Passes appends on until it is partitioned."""

    def __init__(self, log):
        self.is_partitioned = False
        self._log = log

    async def append(self, stream, data):
        if self.is_partitioned:
            await asyncio.sleep(5)
            raise failure_error(
                Code.LOG, step='append', peer='log', text='parted'
            )
        return await self._log.append(stream, data)


class AcceptingHandler:
    """Accepts the messages that the bill handler passes on."""

    async def answer(self, message, context):
        yield Accepted()


class DataCentre:
    """Two routers, and sidecars that bill one budget."""

    def __init__(self, *, relayed=True):
        self.configuration = empty_configuration()
        shards = self.configuration.policy.ledger_shards
        self.stream = ledger_stream(shard_of(BUDGET, shards))
        self.log = MemoryLog()
        self.log.slow_s = LOG_DELAY_S
        self.cut = set()
        self.network = MemoryNetwork(self._link)
        self.tasks = []
        self.places = tuple(
            RouterPlace(Incarnation(f'r{n}/1'), 'a', f'r{n}') for n in range(2)
        )
        self.order = bill_relay_order('a', self.stream, self.places)
        self.logs = {}
        self.relays = {}
        self.senders = [self._sender(n, relayed) for n in range(SIDECARS)]
        self.bills = 0

    def _link(self, sender, receiver):
        return None if (sender, receiver) in self.cut else 0.0002

    def _sender(self, number, relayed):
        incarnation = Incarnation(f's{number}/1')
        peers = MemoryPeers(
            self.network,
            address=f's{number}',
            incarnation=incarnation,
            version=lambda: 0,
            on_version=lambda *_: None,
        )
        bills = BillRelayClient(
            log=self.log,
            data_centre='a',
            peers=peers,
            routers=lambda: self.places if relayed else (),
        )
        return BillSender(
            log=bills,
            incarnation=incarnation,
            configuration=lambda: self.configuration,
        )

    def start(self):
        for place in self.places:
            log = PartitionedLog(self.log)
            relay = BillRelay(
                log=log,
                incarnation=place.incarnation,
                configuration=lambda: self.configuration,
            )
            self.logs[place.address] = log
            self.relays[place.address] = asyncio.create_task(relay.run())
            handler = new_bill_handler(relay, AcceptingHandler())
            self.network.serve(place.address, handler)
        self.tasks = [
            asyncio.create_task(sender.run()) for sender in self.senders
        ]

    def crash(self, address):
        self.relays[address].cancel()
        self.network.close(address)

    async def bill_for(self, duration_s):
        """Have each sidecar send one bill per interval."""
        for _ in range(round(duration_s / BILL_INTERVAL_S)):
            for sender in self.senders:
                self.bills += 1
                sender.submit(bill_of(f'key-{self.bills}', BILL_TOKENS))
                await asyncio.sleep(BILL_INTERVAL_S / SIDECARS)

    async def flush(self):
        for sender in self.senders:
            await sender.flush()

    async def close(self):
        for task in (*self.tasks, *self.relays.values()):
            task.cancel()
        await asyncio.gather(
            *self.tasks,
            *self.relays.values(),
            return_exceptions=True,
        )

    async def entries(self):
        page = await self.log.read(self.stream, start=0, limit=100_000)
        codec = ledger_codec()
        return [codec.decode(entry.data) for entry in page.entries]

    async def verdicts(self):
        """Return the verdicts of a new fold on the bills in the log."""
        fold = LedgerFold()
        fold.apply(0, 0, SIDECAR_ONE, top_up(10**9))
        marks = SequenceMarks()
        return [
            fold.apply(0, 0, envelope.producer, record)
            for entry in await self.entries()
            for envelope in entry
            if marks.admit(envelope.producer, envelope.sequence)
            for record in envelope.records
        ]


@asynccontextmanager
async def open_data_centre(*, relayed=True):
    centre = DataCentre(relayed=relayed)
    centre.start()
    try:
        yield centre
    finally:
        await centre.close()


class BillRelayTest(TestCase):
    """Each bill counts once in the ledger, and the log takes few entries."""

    def run_with_fault(self, fault):
        """Bill before and after a fault; return the number of duplicates."""

        async def scenario():
            async with open_data_centre() as centre:
                await centre.bill_for(2)
                fault(centre, centre.order[0].address)
                await centre.bill_for(5)
                await centre.flush()
                verdicts = await centre.verdicts()
                sent = [
                    (envelope.producer, envelope.sequence)
                    for entry in await centre.entries()
                    for envelope in entry
                ]
                return centre.bills, verdicts, len(sent) - len(set(sent))

        bills, verdicts, repeats = virtual_time.run(scenario())
        self.assertEqual([Billed(BILL_TOKENS, BILL_TOKENS)] * bills, verdicts)
        return repeats

    def count_appends(self, *, relayed):
        async def scenario():
            async with open_data_centre(relayed=relayed) as centre:
                await centre.bill_for(30)
                await centre.flush()
                self.assertEqual(centre.bills, len(await centre.verdicts()))
                return centre.log.appends

        return virtual_time.run(scenario())

    def test_relay_takes_under_a_third_of_the_appends(self):
        alone = self.count_appends(relayed=False)
        relayed = self.count_appends(relayed=True)
        self.assertEqual(1800, alone)
        self.assertThat(relayed * 3, LessThan(alone))

    def test_relay_crashes_and_each_bill_counts_once(self):
        self.run_with_fault(DataCentre.crash)

    def test_relay_loses_the_log_and_each_bill_counts_once(self):
        def partition(centre, address):
            centre.logs[address].is_partitioned = True

        self.run_with_fault(partition)

    def test_relay_replies_are_lost_and_each_bill_counts_once(self):
        def lose_replies(centre, address):
            for number in range(SIDECARS):
                centre.cut.add((address, f's{number}'))

        self.assertThat(0, LessThan(self.run_with_fault(lose_replies)))

    def test_all_relays_crash_and_each_bill_counts_once(self):
        def crash_all(centre, address):
            for place in centre.places:
                centre.crash(place.address)

        self.run_with_fault(crash_all)

    def test_log_outage_and_each_bill_counts_once(self):
        def start_outage(centre, address):
            centre.log.outage = True
            loop = asyncio.get_running_loop()
            loop.call_later(3, setattr, centre.log, 'outage', False)

        self.run_with_fault(start_outage)

    def test_relay_order_has_only_routers_of_the_data_centre(self):
        places = [
            RouterPlace(Incarnation(f'r{n}/1'), centre, f'r{n}')
            for n, centre in enumerate('aab')
        ]
        order = bill_relay_order('a', 'ledger-0', places)
        self.assertEqual(set(places[:2]), set(order))
        self.assertEqual((), bill_relay_order('c', 'ledger-0', places))


class RefusalTest(TestCase):
    """A relay appends only valid entries of bills."""

    def ask(self, *messages, log=None):
        async def scenario():
            relay = BillRelay(
                log=log or MemoryLog(),
                incarnation=Incarnation('r/1'),
                configuration=empty_configuration,
            )
            task = asyncio.create_task(relay.run())
            handler = new_bill_handler(relay, AcceptingHandler())
            try:
                return await asyncio.gather(
                    *(anext(handler.answer(m, None)) for m in messages)
                )
            finally:
                task.cancel()

        return virtual_time.run(scenario())

    def assert_refused(self, message, code):
        log = MemoryLog()
        [reply] = self.ask(message, log=log)
        self.assertIsInstance(reply, Refusal)
        self.assertEqual(
            (code, 'append_bills', 'r/1'), (reply.code, reply.step, reply.peer)
        )
        self.assertEqual(0, log.appends)

    def test_other_messages_are_passed_on(self):
        self.assertEqual([Accepted()], self.ask(AskStatus()))

    def test_streams_other_than_ledger_shards_are_refused(self):
        data = entry_of(bill_of('key', 1))
        for stream in ('fleet', 'ledger-0.checkpoints', 'ledger-999', ''):
            self.assert_refused(AppendEnvelope(stream, data), Code.INVALID)

    def test_records_other_than_bills_are_refused(self):
        data = entry_of(bill_of('key', 1), top_up(5))
        self.assert_refused(AppendEnvelope('ledger-0', data), Code.INVALID)

    def test_malformed_entries_are_refused(self):
        whole = entry_of(bill_of('key', 1))
        nested = b'\x91' * 100_000
        no_text = whole.replace(b'key', b'\xff\xfe\xfd')
        no_bill = msgspec.msgpack.encode([])
        for data in (b'', b'\xc1', whole[:-1], nested, no_text, no_bill):
            self.assert_refused(AppendEnvelope('ledger-0', data), Code.INVALID)

    def test_entry_over_the_size_limit_is_refused(self):
        message = AppendEnvelope('ledger-0', b'\x00' * (MAX_DATA_BYTES + 1))
        self.assert_refused(message, Code.TOO_LARGE)

    def test_bills_over_the_queue_limit_are_refused(self):
        data = entry_of(bill_of('k' * (MAX_DATA_BYTES // 2), 1))
        number = MAX_WAITING_BYTES // len(data) + 3
        replies = self.ask(*[AppendEnvelope('ledger-0', data)] * number)
        codes = [reply.code for reply in replies if reply != Accepted()]
        self.assertEqual([Code.CAPACITY] * 3, codes)

    def test_log_failure_is_returned_to_the_sender(self):
        log = MemoryLog()
        log.outage = True
        data = entry_of(bill_of('key', 1))
        [reply] = self.ask(AppendEnvelope('ledger-0', data), log=log)
        self.assertEqual(
            (Code.LOG, 'append', 'log'), (reply.code, reply.step, reply.peer)
        )


def entry_of(*records):
    envelope = Envelope(Incarnation('s/1/bills'), 1, records)
    return ledger_codec().encode((envelope,))

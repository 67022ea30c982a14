"""Tests of values of other writers that can be read but not meant."""

import msgspec
import testtools

from dandelioncleat.core.whole_number import MAX_NUMBER, whole_number
from dandelioncleat.platform.documents import decode_target
from tests.builders.direct import (
    MODEL_HEADERS,
    Target,
    events,
    run_with_fleet,
    text_answer,
)

MANY_DIGITS = '1' * 5000
TOO_LARGE = 10**300


def entry(**changes):
    """Return an entry of a target that listens nowhere."""
    target = Target('i-odd', 'app')
    target.address = '127.0.0.1:9'
    return {**target.entry(), 'born': 1, **changes}


class OddEntryTest(testtools.TestCase):
    """An entry with a value that can't be meant names no target."""

    def _decoded(self, *, key='i-odd', **changes):
        return decode_target(key, msgspec.json.encode(entry(**changes)))

    def test_sound_entry(self):
        self.assertEqual('127.0.0.1:9', self._decoded().address)

    def test_address(self):
        for address in (
            '127.0.0.1:99999',
            '127.0.0.1:0',
            '127.0.0.1:-5',
            '127.0.0.1:1 ',
            '127.0.0.1:\u0663\u0664',
            f'127.0.0.1:{MANY_DIGITS}',
            '127.0.0.1',
            ':80',
            '999.1.1.1:80',
            'localhost:80',
            'a b:80',
            'x@127.0.0.1:80',
            '127.0.0.1/x:80',
            '[::1]:80',
        ):
            self.assertIsNone(self._decoded(address=address), address[:30])

    def test_number(self):
        for slots in (0, -3, 10**9, TOO_LARGE):
            self.assertIsNone(self._decoded(slots=slots))
        for number in (-1, TOO_LARGE):
            self.assertIsNone(self._decoded(born=number))
            self.assertIsNone(self._decoded(sequence=number))

    def test_entry_of_another_writer_that_lacks_a_field(self):
        # It would move prompts to a target of another service.
        for name in entry():
            if name != 'born':
                incomplete = entry()
                incomplete.pop(name)
                value = msgspec.json.encode(incomplete)
                self.assertIsNone(decode_target('i-odd', value), name)

    def test_name(self):
        for key in ('', 'i odd', 'i-\n', 'i-\u00f6', 'i' * 256):
            self.assertIsNone(self._decoded(key=key), key[:30])
        for name in ('service', 'zone', 'version'):
            self.assertIsNone(self._decoded(**{name: 'x' * 300}))


class OddEntryAtRouterTest(testtools.TestCase):
    """A router goes on beside an entry with a value that can't be meant."""

    def test_port_with_thousands_of_digits_does_not_end_a_router(self):
        async def scenario(fleet):
            odd = entry(address=f'127.0.0.1:{MANY_DIGITS}')
            await fleet.put('servers', 'i-odd', odd)
            await fleet.list_second_engine()
            return (await fleet.call('/safe/a'))[0]

        self.assertEqual(200, run_with_fleet(scenario))


class LongNumberTest(testtools.TestCase):
    """A number of thousands of digits in a header breaks no request."""

    def test_load_of_a_target(self):
        async def scenario(fleet):
            load = f'{MANY_DIGITS},0,8'
            fleet.app.answers = [text_answer('ok', **{'Server-Load': load})]
            first = await fleet.call('/once/a')
            return first[0], (await fleet.call('/once/b'))[0]

        self.assertEqual((200, 200), run_with_fleet(scenario))

    def test_wait_of_a_caller(self):
        async def scenario(fleet):
            answer = await fleet.call('/safe/a', **{'Deadline-Ms': MANY_DIGITS})
            return answer[0]

        self.assertEqual(200, run_with_fleet(scenario))

    def test_size_of_a_prompt(self):
        async def scenario(fleet):
            fleet.llm.answers = [events(0, 1)]
            counts = {'Token-Count': f'{MANY_DIGITS},1'}
            large = await fleet.call('/stream/a', **{**MODEL_HEADERS, **counts})
            sound = await fleet.call('/stream/b', **MODEL_HEADERS)
            return large[0], sound[0]

        self.assertEqual((402, 200), run_with_fleet(scenario))

    def test_whole_number(self):
        for text, number in (
            ('0', 0),
            ('0012', 12),
            (MANY_DIGITS, MAX_NUMBER),
            ('', None),
            ('-1', None),
            ('\u0663', None),
        ):
            self.assertEqual(number, whole_number(text))

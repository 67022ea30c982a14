"""Crowds whose heads are over the limit or have no end, at each address.

The crowds and the bounds are fixed; nothing here depends on the speed of the
machine.
"""

from tests.builders.crowd_case import CrowdCase
from tests.soak.crowd_forms import head_crowd, head_forms
from tests.soak.crowds import METRICS_PATH, READY_PATH

ROUTE = b'/read/crowd/a'
ENDLESS = ('one field', 'a name of a field', 'a target', 'a method')
EMPTY = (
    'empty lines',
    'line feeds',
    'carriage returns',
    'empty lines after a request',
)


class HeadCrowdTest(CrowdCase):
    """aiohttp bounds each field, but keeps all fields of a head."""

    def _play(self, path, names=None, place='front'):
        forms = head_forms(path)
        self.play_in_turn(
            place, {name: head_crowd(forms[name]) for name in names or forms}
        )

    def test_lines_without_an_end(self):
        self._play(ROUTE, ENDLESS)

    def test_fields_over_the_limit_in_sum(self):
        self._play(ROUTE, ('many fields',))

    def test_trailers_over_the_limit_in_sum(self):
        self._play(ROUTE, ('trailers',))

    def test_whole_heads_over_the_limit_in_sum(self):
        self._play(ROUTE, ('many whole heads',))

    def test_short_fields_without_an_end(self):
        self._play(ROUTE, ('short fields',))

    def test_empty_lines_without_an_end(self):
        self._play(ROUTE, EMPTY)

    def test_ready_address(self):
        self._play(READY_PATH, place='ready')

    def test_metrics_address(self):
        self._play(METRICS_PATH, place='metrics')

    def test_address_of_a_gateway(self):
        self._play(b'/peers', place='gateway')

    def test_metrics_address_of_a_gateway(self):
        self._play(METRICS_PATH, place='gateway metrics')

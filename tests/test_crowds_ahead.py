"""Crowds that send requests ahead and read no answer, at each address.

The crowds and the bounds are fixed; nothing here depends on the speed of the
machine.
"""

from tests.builders.crowd_case import CrowdCase
from tests.soak.crowd_forms import (
    COUNTS,
    NO_BODY,
    ahead,
    body_request,
    large_head,
    legal_head,
    many_field_head,
)
from tests.soak.crowds import METRICS_PATH, READY_PATH, head

ROUTE = b'/read/crowd/a'
SLOW = head(b'/slow/a', NO_BODY)


def get(path):
    """Return a request for a page."""
    return head(path, method=b'GET')


class AheadCrowdTest(CrowdCase):
    """A connection's requests and answers wait in the process."""

    def _play(self, request, *, first=b'', place='front'):
        crowds = {
            f'{count} connections': ahead(count, request, first=first)
            for count in COUNTS
        }
        self.play_in_turn(place, crowds)

    def test_small_answers(self):
        self._play(head(ROUTE, NO_BODY))

    def test_refusals(self):
        self._play(head(b'/none/a', NO_BODY))

    def test_large_answers(self):
        self._play(head(b'/large/a', NO_BODY))

    def test_streams(self):
        self._play(head(b'/streams/a', NO_BODY))

    def test_bodies(self):
        self._play(body_request(ROUTE))

    def test_bodies_behind_a_slow_request(self):
        self._play(body_request(ROUTE), first=SLOW)

    def test_heads_within_the_limit_behind_a_slow_request(self):
        self._play(legal_head(ROUTE), first=SLOW)

    def test_heads_of_many_fields_behind_a_slow_request(self):
        self._play(many_field_head(ROUTE), first=SLOW)

    def test_heads_over_the_limit_behind_a_slow_request(self):
        self._play(large_head(ROUTE), first=SLOW)

    def test_ready_address(self):
        self._play(get(READY_PATH), place='ready')

    def test_heads_over_the_limit_at_the_ready_address(self):
        self._play(large_head(READY_PATH), place='ready')

    def test_metrics_address(self):
        self._play(get(METRICS_PATH), place='metrics')

    def test_address_of_a_gateway(self):
        self._play(get(b'/none'), place='gateway')

    def test_heads_over_the_limit_at_the_address_of_a_gateway(self):
        self._play(large_head(b'/peers'), place='gateway')

    def test_metrics_address_of_a_gateway(self):
        self._play(get(METRICS_PATH), place='gateway metrics')

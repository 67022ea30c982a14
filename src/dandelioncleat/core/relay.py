"""Which routers read the shared streams for the others."""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

import xxhash

from dandelioncleat.core.identity import Incarnation

RELAYS_PER_DATA_CENTRE = 4


class LiveRouter(NamedTuple):
    """A live router and where it is."""

    incarnation: Incarnation
    data_centre: str
    address: str


def relays_of(
    data_centre: str,
    routers: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Return the routers that read for a data centre, by rendezvous hash.

    A data centre without a router is read for by routers of the others.
    """
    places = tuple(routers)
    own = [place for place in places if place.data_centre == data_centre]
    ranked = sorted(own or places, key=partial(_rank, data_centre))
    return tuple(ranked[:RELAYS_PER_DATA_CENTRE])


def relay_order(
    process: Incarnation,
    relays: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Order relays for one process, so that their askers are spread."""
    return tuple(sorted(relays, key=partial(_rank, process)))


def bill_relay_order(
    data_centre: str,
    stream: str,
    routers: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Order the routers of a data centre that append a stream's bills.

    All senders of the data centre have the same order.
    """
    own = (place for place in routers if place.data_centre == data_centre)
    salt = f'{data_centre}\n{stream}'
    return tuple(sorted(own, key=partial(_rank, salt)))


def _rank(salt: str, place: LiveRouter) -> tuple[int, str]:
    text = f'{salt}\n{place.incarnation}'
    return (xxhash.xxh3_64_intdigest(text.encode()), place.incarnation)

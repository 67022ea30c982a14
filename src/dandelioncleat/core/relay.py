"""Selects the routers that relay the shared streams to other processes."""

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

import xxhash

from dandelioncleat.core.identity import Incarnation

RELAYS_PER_DATA_CENTRE = 4


class LiveRouter(NamedTuple):
    """A live router with its data centre and address."""

    incarnation: Incarnation
    data_centre: str
    address: str


def relays_of(
    data_centre: str,
    routers: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Return the relays of a data centre, by rendezvous hash.

    A data centre without a router uses routers of the others.
    """
    candidates = tuple(routers)
    own = [router for router in candidates if router.data_centre == data_centre]
    ranked = sorted(own or candidates, key=partial(_rank, data_centre))
    return tuple(ranked[:RELAYS_PER_DATA_CENTRE])


def relay_order(
    process: Incarnation,
    relays: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Order relays for one process, so that the load is spread over them."""
    return tuple(sorted(relays, key=partial(_rank, process)))


def bill_relay_order(
    data_centre: str,
    stream: str,
    routers: Iterable[LiveRouter],
) -> tuple[LiveRouter, ...]:
    """Order the routers of a data centre as relays of a stream's bills.

    All senders of the data centre compute the same order.
    """
    own = (router for router in routers if router.data_centre == data_centre)
    salt = f'{data_centre}\n{stream}'
    return tuple(sorted(own, key=partial(_rank, salt)))


def _rank(salt: str, router: LiveRouter) -> tuple[int, str]:
    text = f'{salt}\n{router.incarnation}'
    return (xxhash.xxh3_64_intdigest(text.encode()), router.incarnation)

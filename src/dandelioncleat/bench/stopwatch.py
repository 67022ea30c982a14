"""Times a repeated call by the processor time of this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

US_PER_S = 1e6
ROUNDS = 3

MadeT = TypeVar('MadeT')


def least_us(call: Callable[[], object], *, times: int) -> float:
    """Return the least mean processor time of a call, in microseconds.

    The least of a few rounds is the one that other work disturbed least.

    :param times: calls in each round
    """
    return min(_round_s(call, times) for _ in range(ROUNDS)) * US_PER_S / times


def traced(make: Callable[[], MadeT]) -> tuple[MadeT, int]:
    """Make something; return it with the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        return made, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _round_s(call: Callable[[], object], times: int) -> float:
    started_at = time.process_time()
    for _ in range(times):
        call()
    return time.process_time() - started_at

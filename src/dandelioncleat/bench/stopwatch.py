"""Times a repeated call by the processor time of this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

US_PER_S = 1e6
ROUNDS = 3

MadeT = TypeVar('MadeT')


def min_us(call: Callable[[], object], *, times: int) -> float:
    """Return the minimum processor time of a call, in microseconds.

    It is the mean of the round that other processes disturbed least.

    :param times: calls in each round
    """
    return min(_round_s(call, times) for _ in range(ROUNDS)) * US_PER_S / times


def traced(make: Callable[[], MadeT]) -> tuple[MadeT, int]:
    """Create an object; return it with the bytes that it holds."""
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

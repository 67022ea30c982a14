"""Ledger shards: each budget belongs to one log stream."""

import xxhash

from dandelioncleat.core.identity import BudgetId


def shard_of(budget: BudgetId, shards: int) -> int:
    """Return the number of the ledger shard that holds a budget."""
    return xxhash.xxh64_intdigest(budget.encode()) % max(shards, 1)


def ledger_stream(shard: int) -> str:
    """Return the name of a ledger shard's stream."""
    return f'ledger-{shard}'

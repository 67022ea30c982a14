"""A demonstration of the whole system in one process."""

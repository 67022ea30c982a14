"""Implementations of the ports by libraries."""

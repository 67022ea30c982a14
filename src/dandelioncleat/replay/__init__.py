"""Replay of recorded traces against their stated outcomes."""

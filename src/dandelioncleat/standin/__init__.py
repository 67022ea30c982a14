"""Lightweight simulators of the platform and its targets."""

"""Replays recorded traces and checks their expected outcomes."""

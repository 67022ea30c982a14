"""The commands that operators use."""

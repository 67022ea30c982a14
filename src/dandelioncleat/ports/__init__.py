"""Protocols through which the application meets the outside."""

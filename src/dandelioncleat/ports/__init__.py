"""Interfaces of the application to external systems."""

"""Measurements of cost against size."""

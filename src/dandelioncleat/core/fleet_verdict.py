"""The verdicts of the fleet fold on its records."""

from msgspec import Struct


class Noted(Struct, frozen=True, array_like=True, tag=True):
    """The record took effect."""


class Ignored(Struct, frozen=True, array_like=True, tag=True):
    """The record had no effect."""

    reason: str


FleetVerdict = Noted | Ignored

"""Verdicts on submitted patches."""

from msgspec import Struct

from dandelioncleat.core.defect import Defect
from dandelioncleat.core.identity import Digest


class PatchVerdict(Struct, frozen=True, tag_field='verdict'):
    """Base class of all verdicts."""


class PatchAccepted(PatchVerdict, frozen=True, tag='accepted'):
    """The patch created this version."""

    version: int
    digest: Digest


class PatchConflict(PatchVerdict, frozen=True, tag='conflict'):
    """The patch is against a version that is not the newest.

    ``winner`` is the patch that won against the same version, by
    ``operator``; both are empty if it is no longer known, or if the version
    does not exist yet.
    """

    against: int
    current: int
    winner: str
    operator: str


class PatchInvalid(PatchVerdict, frozen=True, tag='invalid'):
    """The patch has these defects; no part of it was applied."""

    against: int
    defects: tuple[Defect, ...]


class PatchReused(PatchVerdict, frozen=True, tag='reused'):
    """The patch's id belongs to another patch, submitted earlier."""

    patch: str


AnyPatchVerdict = PatchAccepted | PatchConflict | PatchInvalid | PatchReused

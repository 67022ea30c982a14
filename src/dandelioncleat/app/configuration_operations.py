"""Operator operations on configuration patches and versions."""

import asyncio

from dandelioncleat.app._operator_failure import no_verdict, not_found
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.configuration_history import VersionEntry
from dandelioncleat.core.patch_advice import unknown_policies
from dandelioncleat.core.patch_verdict import (
    AnyPatchVerdict,
    PatchConflict,
    PatchInvalid,
)
from dandelioncleat.core.record import Patch

VERDICT_TIMEOUT_S = 10.0
VERSION_WAIT_S = 3.0


class ConfigurationOperations:
    """Submits patches and looks up versions."""

    def __init__(self, keeper: ConfigurationKeeper) -> None:
        """Take this router's configuration keeper."""
        self._keeper = keeper

    async def submit(self, patch: Patch) -> AnyPatchVerdict:
        """Submit a patch and return its verdict.

        A patch is refused without being submitted if its base version does
        not appear in time, or if it names a policy that this software does
        not have. The fold accepts unknown policy names, because another
        version of the software may have the policy.
        """
        await self._keeper.wait_version(patch.against, VERSION_WAIT_S)
        current = self._keeper.current.version
        if patch.against > current:
            return PatchConflict(patch.against, current, '', '')
        unknown = unknown_policies(patch.body)
        if unknown and patch.patch not in self._keeper.fold.known_by_patch:
            return PatchInvalid(patch.against, unknown)
        try:
            async with asyncio.timeout(VERDICT_TIMEOUT_S):
                return await self._keeper.submit(patch)
        except TimeoutError as error:
            raise no_verdict('patch', 'configuration') from error

    def verdict_of(self, patch: str) -> AnyPatchVerdict:
        """Return the verdict of a patch that was submitted recently."""
        known = self._keeper.fold.known_by_patch.get(patch)
        if known is None:
            raise not_found('patch', patch)
        return known.verdict

    def at(self, version: int | None) -> Configuration:
        """Return a version's configuration, the newest by default."""
        if version is None:
            return self._keeper.current
        configuration = self._keeper.fold.history.at(version)
        if configuration is None:
            raise not_found('version', str(version))
        return configuration

    def history(self) -> tuple[VersionEntry, ...]:
        """Return the retained versions, oldest first."""
        history = self._keeper.fold.history
        return tuple(history.entries_by_version.values())

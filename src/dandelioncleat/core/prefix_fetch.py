"""Decides from where a target copies a prompt's prefix in place of reading it.

Load: many callers begin prompts with the same long parts, and more come at once
than the targets that have cached these parts can take. Each other target would
read the parts again, and produces no tokens for anyone while it reads. Where
the links between targets are fast, a copy takes a fraction of that time.
"""

from collections.abc import Sequence
from typing import NamedTuple

from dandelioncleat.core.deployment import Engine
from dandelioncleat.core.direct_request import ModelPrompt
from dandelioncleat.core.stable_hash import stable_hash
from dandelioncleat.core.target_snapshot import TargetSnapshot

# Engines read a prompt token in 15 to 25 microseconds. A copy that takes more
# than about a tenth of that is not worth the traffic.
MAX_FETCH_S_PER_TOKEN = 2e-6
# A fetch takes some milliseconds before its first token.
MIN_FETCHED_TOKENS = 1000
FETCH_SETUP_TOKENS = 300
# What a fetched token costs against one that is read. It arrives sooner, but a
# copy takes its turn on two links, and memory that other parts have to leave.
FETCHED_TOKEN_COST = 0.3
# Other routers may have sent a prefix to its preferred target.
EXPECTED_HIT_SHARE = 0.7


class PrefixSource(NamedTuple):
    """A target that has cached more of a prompt than the chosen one.

    :param tokens: cached tokens beyond those of the chosen target
    :param is_expected: whether only other routers may have sent the prefix
    """

    target: str
    tokens: int
    is_expected: bool = False

    @property
    def cost_tokens(self) -> float:
        """Return what the fetch costs, in tokens that are read."""
        return FETCH_SETUP_TOKENS + FETCHED_TOKEN_COST * self.tokens

    @property
    def saved_tokens(self) -> float:
        """Return the tokens that need not be read, less the fetch."""
        return self.tokens - self.cost_tokens


class _Holders(NamedTuple):
    """The targets that have cached most of a prompt, and how many tokens."""

    tokens: int
    targets: tuple[TargetSnapshot, ...]


class PrefixSources:
    """The targets from which the others may fetch parts of one prompt.

    Those of another software version may have other weights.
    """

    def __init__(
        self,
        targets: Sequence[TargetSnapshot],
        prompt: ModelPrompt,
        *,
        preferred: TargetSnapshot,
    ) -> None:
        """Find out which targets have cached most.

        :param preferred: the target to which all routers send a new prefix
        """
        self._prompt = prompt
        self._preferred = preferred
        self._holders_by_version: dict[str | None, _Holders] = {}
        for target in targets:
            if not target.is_cold:
                self._add(target, _cached_tokens(target, prompt))

    def best(self, target: TargetSnapshot) -> PrefixSource | None:
        """Return where a target should fetch from, ``None`` if nowhere."""
        holders = self._holders_by_version.get(target.software_version)
        if holders is None or not holders.tokens:
            return self._expected(target)
        missing = holders.tokens - _cached_tokens(target, self._prompt)
        if missing < MIN_FETCHED_TOKENS:
            return None
        return PrefixSource(_best_holder(holders.targets, target).id, missing)

    def _add(self, target: TargetSnapshot, cached: int) -> None:
        version = target.software_version
        known = self._holders_by_version.get(version)
        if known is None or cached > known.tokens:
            self._holders_by_version[version] = _Holders(cached, (target,))
        elif cached == known.tokens:
            self._holders_by_version[version] = _Holders(
                cached, (*known.targets, target)
            )

    def _expected(self, target: TargetSnapshot) -> PrefixSource | None:
        """Return the preferred target, if it may well hold the first part."""
        preferred = self._preferred
        if preferred.id == target.id or preferred.is_cold:
            return None
        if preferred.software_version != target.software_version:
            return None
        expected = int(EXPECTED_HIT_SHARE * self._prompt.parts[0].tokens)
        if expected < MIN_FETCHED_TOKENS:
            return None
        return PrefixSource(preferred.id, expected, is_expected=True)


def _cached_tokens(target: TargetSnapshot, prompt: ModelPrompt) -> int:
    return prompt.input_tokens - target.held_parts.unread_tokens(prompt)


def _best_holder(
    holders: Sequence[TargetSnapshot], target: TargetSnapshot
) -> TargetSnapshot:
    """Return the holder from which a target should fetch.

    Targets use different ones, as each sends one copy after the other.
    """
    return min(
        holders,
        key=lambda each: (
            each.is_near != target.is_near,
            stable_hash(each.id + target.id),
        ),
    )


def allows_fetches(engine: Engine | None) -> bool:
    """Return whether the links between targets are fast enough."""
    if engine is None or engine.fetch_s_per_token is None:
        return False
    return engine.fetch_s_per_token <= MAX_FETCH_S_PER_TOKEN

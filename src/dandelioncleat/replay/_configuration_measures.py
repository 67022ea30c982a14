"""Measures of how configuration versions propagate."""

from itertools import pairwise

from dandelioncleat.replay.facts import Facts


def config_convergence_s(facts: Facts) -> float:
    """Return the longest time in which a version reached all processes."""
    processes = {fact.process for fact in facts.versions}
    return max(
        (
            _effective_arrival_at(facts, process, version) - accepted_at
            for version, accepted_at in facts.accepted_at_by_version.items()
            for process in processes
        ),
        default=0,
    )


def _effective_arrival_at(facts: Facts, process: str, version: int) -> float:
    accepted_at = facts.accepted_at_by_version[version]
    arrivals = [
        fact.at
        for fact in facts.versions
        if fact.process == process and fact.version >= version
    ]
    arrived_at = max(accepted_at, min(arrivals, default=facts.ended_at))
    absent_s = sum(
        max(0, min(absence.end, arrived_at) - max(absence.start, accepted_at))
        for absence in facts.absences
        if absence.name == process
    )
    return arrived_at - absent_s


def config_reverts(facts: Facts) -> float:
    """Count the times that a process went back to an older version."""
    versions_by_process: dict[str, list[int]] = {}
    for fact in facts.versions:
        versions_by_process.setdefault(fact.process, []).append(fact.version)
    return sum(
        later < earlier
        for versions in versions_by_process.values()
        for earlier, later in pairwise(versions)
    )


def patches_accepted(facts: Facts) -> float:
    """Count the patches of the trace that made a version."""
    return len(facts.accepted_at_by_version)

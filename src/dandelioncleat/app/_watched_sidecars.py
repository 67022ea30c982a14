"""Selects the sidecars whose load a router watches."""

from collections.abc import Iterable

from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.fleet import Member
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.placement import subset
from dandelioncleat.core.record import Join


def watched_sidecars(
    router: Incarnation,
    members: Iterable[Member],
    configuration: Configuration,
) -> dict[Incarnation, Join]:
    """Return a subset of the sidecars of each service and data centre."""
    groups: dict[tuple[str, str], dict[str, Join]] = {}
    for member in members:
        join = member.join
        if not member.leaving and _is_configured(join, configuration):
            group = groups.setdefault((join.service, join.data_centre), {})
            group[join.incarnation] = join
    size = configuration.policy.subset_size
    return {
        Incarnation(name): group[name]
        for group in groups.values()
        for name in subset(router, group, size)
    }


def _is_configured(join: Join, configuration: Configuration) -> bool:
    target = configuration.targets_by_name.get(join.target)
    return target is not None and target.service == join.service

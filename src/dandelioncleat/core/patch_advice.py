"""Checks of a patch that depend on the software that makes them."""

from dandelioncleat.core import grant_policy
from dandelioncleat.core.defect import Defect
from dandelioncleat.core.patch import decode_body
from dandelioncleat.core.patch_body import PatchBody, fields_set
from dandelioncleat.core.placement import POLICIES_BY_NAME


def unknown_policies(body: bytes) -> tuple[Defect, ...]:
    """Return the policy names in a patch that this software lacks."""
    document = decode_body(body).value_or(PatchBody())
    stated = fields_set(document.policy)
    names_by_field = {
        'grant_policy': grant_policy.POLICY_NAMES,
        'placement_policy': tuple(POLICIES_BY_NAME),
    }
    return tuple(
        Defect(f'policy.{field}', stated[field], _one_of(names))
        for field, names in names_by_field.items()
        if stated.get(field, names[0]) not in names
    )


def _one_of(names: tuple[str, ...]) -> str:
    listed = ', '.join(names)
    return f'one of {listed}'

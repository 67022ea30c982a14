"""Applies patches to configurations, each completely or not at all."""

import hashlib
import json
from collections import Counter
from typing import Any

from pydantic import ValidationError
from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.configuration import (
    Configuration,
    CredentialHash,
    Organisation,
    Policy,
    Service,
    Target,
)
from dandelioncleat.core.configuration_rules import rule_defects
from dandelioncleat.core.defect import Defect, defects_of
from dandelioncleat.core.identity import Digest
from dandelioncleat.core.patch_body import (
    CredentialChange,
    OrganisationChange,
    PatchBody,
    PolicyChange,
    ServiceChange,
    TargetChange,
    fields_set,
)
from dandelioncleat.core.record import Patch

MAX_BODY_BYTES = 256 * 1024


def decode_body(body: bytes) -> Result[PatchBody, tuple[Defect, ...]]:
    """Decode a patch's document, or return every error in it."""
    if len(body) > MAX_BODY_BYTES:
        expected = f'at most {MAX_BODY_BYTES} bytes'
        return Failed((Defect('patch', f'{len(body)} bytes', expected),))
    try:
        document = PatchBody.model_validate_json(body)
    except ValidationError as error:
        return Failed(defects_of(error))
    repeated = _repeated_keys(body)
    if repeated:
        return Failed(repeated)
    return Success(document)


def apply_patch(
    before: Configuration,
    patch: Patch,
) -> Result[Configuration, tuple[Defect, ...]]:
    """Return the next version, or every reason why there is none.

    ``patch.against`` is not compared with the version.
    """
    return decode_body(patch.body).bind(
        lambda document: _next_version(before, patch, document),
    )


def chained_digest(before: Digest, patch: Patch) -> Digest:
    """Return the digest of the version that a patch creates."""
    digest = hashlib.sha256()
    for part in (before, patch.patch, str(patch.against), patch.operator):
        digest.update(_length_prefixed(part.encode()))
    digest.update(_length_prefixed(patch.body))
    return Digest(digest.hexdigest())


def _next_version(
    before: Configuration,
    patch: Patch,
    document: PatchBody,
) -> Result[Configuration, tuple[Defect, ...]]:
    after = Configuration(
        version=before.version + 1,
        digest=chained_digest(before.digest, patch),
        services_by_name=_merge(
            before.services_by_name,
            document.services,
            _changed_service,
        ),
        targets_by_name=_merge(
            before.targets_by_name,
            document.targets,
            _changed_target,
        ),
        organisations_by_name=_merge(
            before.organisations_by_name,
            document.organisations,
            _changed_organisation,
        ),
        operators_by_name=_merge(
            before.operators_by_name,
            document.operators,
            _changed_credential,
        ),
        policy=_changed_policy(before.policy, document.policy),
    )
    defects = rule_defects(before, after, document)
    return Failed(defects) if defects else Success(after)


def _merge(
    entries_by_name: dict[str, Any],
    changes_by_name: dict[str, Any],
    change_entry: Any,
) -> dict[str, Any]:
    merged = dict(entries_by_name)
    for name, change in changes_by_name.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = change_entry(name, merged.get(name), change)
    return dict(sorted(merged.items()))


def _changed_service(
    name: str,
    before: Service | None,
    change: ServiceChange,
) -> Service:
    fields = fields_set(change)
    if before is not None:
        return before._replace(**fields)
    return Service(name=name, **{'kind': change.kind, **fields})


def _changed_target(
    name: str,
    before: Target | None,
    change: TargetChange,
) -> Target:
    fields = fields_set(change)
    if before is not None:
        return before._replace(**fields)
    required = {'service': change.service, 'data_centre': change.data_centre}
    return Target(name=name, **{**required, **fields})


def _changed_organisation(
    name: str,
    before: Organisation | None,
    change: OrganisationChange,
) -> Organisation:
    fields = fields_set(change)
    if 'credentials' in change.model_fields_set:
        fields['credentials'] = tuple(
            _changed_credential(name, None, entry)
            for entry in change.credentials
        )
    if before is not None:
        return before._replace(**fields)
    return Organisation(name=name, **fields)


def _changed_credential(
    name: str,
    before: CredentialHash | None,
    change: CredentialChange,
) -> CredentialHash:
    return CredentialHash(change.salt, change.digest)


def _changed_policy(before: Policy, change: PolicyChange) -> Policy:
    return before._replace(**fields_set(change))


def _repeated_keys(body: bytes) -> tuple[Defect, ...]:
    keys_of_objects: list[tuple[str, ...]] = []
    json.loads(
        body,
        object_pairs_hook=lambda pairs: keys_of_objects.append(
            tuple(key for key, _ in pairs),
        ),
    )
    return tuple(
        Defect(key, 'repeated', 'each key only once')
        for keys in keys_of_objects
        for key, count in Counter(keys).items()
        if count > 1
    )


def _length_prefixed(part: bytes) -> bytes:
    return len(part).to_bytes(8, 'big') + part

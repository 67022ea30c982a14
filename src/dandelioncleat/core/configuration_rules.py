"""Consistency rules across the entries of a configuration."""

from collections import Counter
from collections.abc import Iterator
from itertools import chain

from dandelioncleat.core.configuration import (
    Configuration,
    CredentialHash,
    ServiceKind,
)
from dandelioncleat.core.defect import Defect
from dandelioncleat.core.patch_body import PatchBody

_SECTIONS = ('services', 'targets', 'organisations', 'operators')


def rule_defects(
    before: Configuration,
    after: Configuration,
    document: PatchBody,
) -> tuple[Defect, ...]:
    """Return a defect for each rule that the patched result breaks."""
    defects = chain(
        _empty_patch(document),
        _removed_but_absent(before, document),
        _new_but_incomplete(before, document),
        _changed_but_immutable(before, after),
        _model_names(after),
        _missing_references(after),
        _reused_salts(after),
    )
    return tuple(defects)


def _empty_patch(document: PatchBody) -> Iterator[Defect]:
    sections = [getattr(document, section) for section in _SECTIONS]
    if not any(sections) and not document.policy.model_fields_set:
        yield Defect('patch', 'no change', 'at least one change')


def _removed_but_absent(
    before: Configuration,
    document: PatchBody,
) -> Iterator[Defect]:
    for section in _SECTIONS:
        present = getattr(before, f'{section}_by_name')
        for name, change in getattr(document, section).items():
            if change is None and name not in present:
                yield Defect(
                    f'{section}.{name}',
                    'null',
                    'the name of an existing entry',
                )


def _new_but_incomplete(
    before: Configuration,
    document: PatchBody,
) -> Iterator[Defect]:
    required_by_section = {
        'services': ('kind',),
        'targets': ('service', 'data_centre'),
    }
    for section, required in required_by_section.items():
        present = getattr(before, f'{section}_by_name')
        for name, change in getattr(document, section).items():
            if change is None or name in present:
                continue
            for field in required:
                if field not in change.model_fields_set:
                    key = f'{section}.{name}.{field}'
                    yield Defect(key, '(missing)', 'a value for a new entry')


def _changed_but_immutable(
    before: Configuration,
    after: Configuration,
) -> Iterator[Defect]:
    for name, service in after.services_by_name.items():
        old = before.services_by_name.get(name, service)
        if service.kind != old.kind:
            key = f'services.{name}.kind'
            yield Defect(
                key, service.kind, f'{old.kind}, which cannot be changed'
            )
        if service.slots != old.slots:
            key = f'services.{name}.slots'
            yield Defect(
                key, str(service.slots), f'{old.slots}, which cannot be changed'
            )
    yield from _changed_budgets(before, after)
    if before.operators_by_name and not after.operators_by_name:
        yield Defect('operators', 'none', 'at least one operator')
    shards = before.policy.ledger_shards
    if before.version and after.policy.ledger_shards != shards:
        yield Defect(
            'policy.ledger_shards',
            str(after.policy.ledger_shards),
            f'{shards}, which only the first version can set',
        )


def _changed_budgets(
    before: Configuration,
    after: Configuration,
) -> Iterator[Defect]:
    for name, organisation in after.organisations_by_name.items():
        old = before.organisations_by_name.get(name, organisation)
        if organisation.budget != old.budget:
            yield Defect(
                f'organisations.{name}.budget',
                str(organisation.budget),
                f'{old.budget}; use "operator organisation top-up"',
            )


def _model_names(after: Configuration) -> Iterator[Defect]:
    services_by_model: dict[str, str] = {}
    for name, service in after.services_by_name.items():
        key = f'services.{name}.models'
        if service.kind == ServiceKind.PLAIN and service.models:
            yield Defect(
                key, str(service.models), 'no models for a plain service'
            )
        if service.kind == ServiceKind.MODEL and not service.models:
            yield Defect(key, '()', 'at least one model')
        for model in service.models:
            owner = services_by_model.setdefault(model, name)
            if owner != name:
                yield Defect(
                    key, model, f'a model that service {owner} does not have'
                )


def _missing_references(after: Configuration) -> Iterator[Defect]:
    for target in after.targets_by_name.values():
        if target.service and target.service not in after.services_by_name:
            yield Defect(
                f'targets.{target.name}.service',
                target.service,
                'an existing service',
            )
    for organisation in after.organisations_by_name.values():
        for service in organisation.services:
            if service not in after.services_by_name:
                yield Defect(
                    f'organisations.{organisation.name}.services',
                    service,
                    'an existing service',
                )


def _reused_salts(after: Configuration) -> Iterator[Defect]:
    credentials_by_key = dict(_credentials(after))
    counts = Counter(
        credential.salt for credential in credentials_by_key.values()
    )
    for key, credential in credentials_by_key.items():
        if counts[credential.salt] > 1:
            yield Defect(
                key, credential.salt, 'a salt that no other credential has'
            )


def _credentials(
    after: Configuration,
) -> Iterator[tuple[str, CredentialHash]]:
    for name, organisation in after.organisations_by_name.items():
        for index, credential in enumerate(organisation.credentials):
            yield f'organisations.{name}.credentials.{index}', credential
    for operator, credential in after.operators_by_name.items():
        yield f'operators.{operator}', credential

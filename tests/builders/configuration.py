"""Builders of patches and configurations."""

import json
from typing import Any

from dandelioncleat.core.configuration import Configuration
from dandelioncleat.core.configuration_history import ConfigurationFold
from dandelioncleat.core.credential import (
    SALT_BYTES,
    SECRET_BYTES,
    GeneratedKey,
    new_key,
)
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.patch_verdict import AnyPatchVerdict
from dandelioncleat.core.record import Patch

PRODUCER = Incarnation('router-1/a')


def build_key(number: int) -> GeneratedKey:
    """Return a key that depends on its number alone."""
    return new_key(
        number.to_bytes(SALT_BYTES, 'big'),
        number.to_bytes(SECRET_BYTES, 'big'),
    )


def build_entry(number: int) -> dict[str, str]:
    """Return the entry of a key as a patch states it."""
    return build_key(number).entry._asdict()


def build_patch(
    document: Any,
    *,
    against: int = 0,
    patch: str = 'patch-1',
    operator: str = 'ops',
) -> Patch:
    """Return a patch of a document, or of raw bytes."""
    body = document if isinstance(document, bytes) else None
    return Patch(
        patch=patch,
        against=against,
        operator=operator,
        body=json.dumps(document).encode() if body is None else body,
    )


def build_document() -> dict[str, Any]:
    """Return a document with an entry of each kind."""
    return {
        'services': {
            'dues-llm': {'kind': 'model', 'models': ['dues-1']},
            'billing-app': {'kind': 'plain', 'price_tokens': 5},
        },
        'targets': {
            'dues-1': {'service': 'dues-llm', 'data_centre': 'klang-a'},
            'billing-1': {'service': 'billing-app', 'data_centre': 'klang-b'},
        },
        'organisations': {
            'agent-1': {'budget': 1000, 'credentials': [build_entry(1)]},
        },
        'operators': {'siti': build_entry(2)},
        'policy': {'ledger_shards': 2},
    }


def apply(
    fold: ConfigurationFold, patch: Patch, *, offset: int = 0
) -> AnyPatchVerdict:
    """Apply a patch as if it was read from the log."""
    return fold.apply(offset, float(offset), PRODUCER, patch)


def build_fold(*documents: Any) -> ConfigurationFold:
    """Return a fold that accepted these documents, one a version."""
    fold = ConfigurationFold()
    for version, document in enumerate(documents):
        patch = build_patch(
            document, against=version, patch=f'patch-{version + 1}'
        )
        apply(fold, patch, offset=version)
    return fold


def build_configuration() -> Configuration:
    """Return a configuration with an entry of each kind."""
    return build_fold(build_document()).current

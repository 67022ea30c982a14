"""Bearer keys of callers and operators, stored as salted hashes.

A key has 256 random bits and cannot be guessed, so one round of SHA-256 is
as safe as a slow hash and cheap enough to run on every request. The salt is
part of the key and serves to look up the hash.
"""

import hashlib
import hmac
from typing import NamedTuple

from dandelioncleat.core.configuration import Configuration, CredentialHash

KEY_PREFIX = 'dlc'
SALT_BYTES = 16
SECRET_BYTES = 32
_NO_CREDENTIAL = CredentialHash(salt='', digest='0' * 64)


class GeneratedKey(NamedTuple):
    """A new key and its entry for the configuration."""

    text: str
    entry: CredentialHash


def new_key(salt: bytes, secret: bytes) -> GeneratedKey:
    """Build a key from a random salt and a random secret.

    :param salt: ``SALT_BYTES`` random bytes
    :param secret: ``SECRET_BYTES`` random bytes
    """
    text = '_'.join((KEY_PREFIX, salt.hex(), secret.hex()))
    return GeneratedKey(text, CredentialHash(salt.hex(), _digest_of(text)))


def verify_key(text: str, credential: CredentialHash) -> bool:
    """Compare a key with a hash in constant time."""
    return hmac.compare_digest(_digest_of(text), credential.digest)


def salt_of(text: str) -> str:
    """Return the salt of a key, empty if the text is not a key."""
    parts = text.split('_')
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return ''
    return parts[1]


class CredentialIndex:
    """Finds the organisation or the operator that a key belongs to."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the credentials of one version."""
        self._organisations_by_salt = {
            credential.salt: (organisation.name, credential)
            for organisation in configuration.organisations_by_name.values()
            for credential in organisation.credentials
        }
        self._operators_by_salt = {
            credential.salt: (name, credential)
            for name, credential in configuration.operators_by_name.items()
        }

    def organisation_of(self, text: str) -> str | None:
        """Return the name of the organisation that holds a key."""
        return _owner_of(text, self._organisations_by_salt)

    def operator_of(self, text: str) -> str | None:
        """Return the name of the operator that holds a key."""
        return _owner_of(text, self._operators_by_salt)


def _owner_of(
    text: str,
    owners_by_salt: dict[str, tuple[str, CredentialHash]],
) -> str | None:
    name, credential = owners_by_salt.get(
        salt_of(text),
        ('', _NO_CREDENTIAL),
    )
    return name if verify_key(text, credential) else None


def _digest_of(text: str) -> str:
    return hashlib.sha256(text.encode('utf-8', 'replace')).hexdigest()

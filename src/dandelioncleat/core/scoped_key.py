"""Request keys, scoped by service and by whether the call is idempotent.

Keys of different services, and of idempotent and other calls, have different
homes, which do not know each other's keys.
"""

IDEMPOTENT_SCOPE = 'any'
AT_MOST_ONCE_SCOPE = 'once'
SEPARATOR = '/'
SCOPES = (IDEMPOTENT_SCOPE, AT_MOST_ONCE_SCOPE)


def scoped_key(key: str, service: str, *, idempotent: bool) -> str:
    """Return the key under which a request is known in the fleet."""
    scope = IDEMPOTENT_SCOPE if idempotent else AT_MOST_ONCE_SCOPE
    return SEPARATOR.join((service, scope, key))


def caller_key(key: str) -> str:
    """Return the caller's part of a scoped key, and any other unchanged."""
    parts = key.split(SEPARATOR, 2)
    if len(parts) == 3 and parts[1] in SCOPES:
        return parts[2]
    return key

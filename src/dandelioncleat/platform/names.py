"""The platform's names of headers, paths, topics and keys."""

from typing import Final

SETTINGS_VARIABLE: Final = 'DANDELIONCLEAT_SETTINGS'

REQUEST_ID: Final = 'Request-Id'
DEADLINE_MS: Final = 'Deadline-Ms'
API_KEY: Final = 'Authorization'
API_KEY_SCHEME: Final = 'bearer '
MODEL: Final = 'Model'
TOKEN_COUNTS: Final = 'Token-Count'
PROMPT_PARTS: Final = 'Prompt-Prefix'
RESUME_AFTER: Final = 'Last-Event-Id'
RESUMED_REQUEST: Final = 'Resumes'
ORGANISATION: Final = 'Tenant'
EXPECTED_TARGET: Final = 'Expect-Instance'
TARGET_ID: Final = 'Instance-Id'
URGENCY: Final = 'Request-Priority'
OCCUPANCY: Final = 'Server-Load'
NOT_RUN: Final = 'Not-Run'
LEAVING: Final = 'Server-Leaving'
RATE_LIMIT: Final = 'Server-Limit'
STAMP: Final = 'Server-Stamp'
PREFIX_SOURCE: Final = 'Kv-Fetch'
COLD_MS: Final = 'Cold-Ms'
RETRY_AFTER: Final = 'Retry-After'

# Headers of targets that begin so and are not listed here are logged once.
TARGET_NOTICE_PREFIX: Final = 'server-'
KNOWN_TARGET_NOTICES: Final = frozenset(
    name.lower() for name in (STAMP, OCCUPANCY, LEAVING, RATE_LIMIT)
)

# Between routers: marks a forwarded request, gives the sender's version of the
# configuration and a refusal's reason, tells in requests and refusals how
# often the request has been sent to targets, and in answers which start of a
# target has answered.
FORWARDED: Final = 'Dandelioncleat-Forwarded'
SENDER_VERSION: Final = 'Dandelioncleat-Version'
ARRIVALS: Final = 'Dandelioncleat-Arrivals'
REFUSAL: Final = 'Dandelioncleat-Refusal'
TARGET_START: Final = 'Dandelioncleat-Target'

# Not relayed from callers: the router reads or sets these itself.
RESERVED_HEADERS: Final = frozenset(
    (
        'authorization',
        'tenant',
        'expect-instance',
        'expect-version',
        'request-priority',
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-from',
        'kv-fetch',
        'deadline-ms',
        'dandelioncleat-forwarded',
        'dandelioncleat-version',
        'dandelioncleat-arrivals',
        'last-event-id',
    )
)

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)

ERA: Final = 'Store-Era'

CACHE_EVENTS_PATH: Final = '/dandelioncleat/kv-events'
LONG_POLL_MS: Final = 'Wait-Ms'
READY_PATH: Final = '/dandelioncleat/readiness'
METRICS_PATH: Final = '/metrics'
APPEND_PATH: Final = '/dandelioncleat/log-append'
READ_PATH: Final = '/dandelioncleat/log-read'
NEWEST_PATH: Final = '/dandelioncleat/log-newest'

# Prefix of compacted topics, which keep the newest record of each key.
KEYED_PREFIX: Final = 'keyed.'
OPERATOR_TOPIC: Final = 'op'
CONFIGURATION_KEY: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'
TARGETS_TOPIC: Final = 'servers'

"""The platform's names of headers, calls, topics and keys."""

from typing import Final

SETTINGS_VARIABLE: Final = 'DANDELIONCLEAT_SETTINGS'

REQUEST_ID: Final = 'Request-Id'
WAIT_MS: Final = 'Deadline-Ms'
KEY: Final = 'Authorization'
KEY_SCHEME: Final = 'bearer '
MODEL: Final = 'Model'
TOKENS: Final = 'Token-Count'
PROMPT_PARTS: Final = 'Prompt-Prefix'
RESUME_AFTER: Final = 'Last-Event-Id'
ORGANISATION: Final = 'Tenant'
EXPECTED_TARGET: Final = 'Expect-Instance'
URGENCY: Final = 'Request-Priority'
OCCUPANCY: Final = 'Server-Load'
NOT_RUN: Final = 'Not-Run'

# Between routers: a request that was passed on, and why one was refused.
FORWARDED: Final = 'Dandelioncleat-Forwarded'
REFUSAL: Final = 'Dandelioncleat-Refusal'

# The router sets these itself, whatever a caller sends.
OWN_HEADERS: Final = frozenset(
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
        'last-event-id',
    )
)

CONNECTION_HEADERS: Final = frozenset(
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

CACHE_EVENTS_PATH: Final = '/dandelioncleat/kv-events'
WAIT_LIMIT: Final = 'Wait-Ms'
READY_PATH: Final = '/dandelioncleat/readiness'
METRICS_PATH: Final = '/metrics'
APPEND_PATH: Final = '/dandelioncleat/log-append'
READ_PATH: Final = '/dandelioncleat/log-read'
NEWEST_PATH: Final = '/dandelioncleat/log-newest'

# Topics whose newest record of each key lasts begin so.
KEYED_PREFIX: Final = 'keyed.'
OPERATOR_TOPIC: Final = 'op'
CONFIGURATION_KEY: Final = 'config'
TARGETS_TOPIC: Final = 'servers'

"""Decides whether a stream may be resumed at its caller's request."""

import structlog

from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.app.direct.stream_origins import StreamOrigins
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason
from dandelioncleat.core.stream_origin import StreamOrigin

# Another router may know it, or the store may answer by then.
UNKNOWN_RETRY_S = 0.3
# A crashed target of the version may have started again by then.
VERSION_GONE_RETRY_S = 1.0

_logger = structlog.get_logger(__name__)


async def resumption_refusal(
    context: RunContext, *, origins: StreamOrigins, placement: Placement
) -> DirectRefusal | None:
    """Set the origin of a resumed stream, or return a refusal.

    Events of two software versions don't fit together, so a stream whose
    origin is not known can't be resumed. The list of targets is read again
    first: what this router knew before may be older than the stream.
    """
    if context.request.resume_after is None:
        return None
    is_read = await placement.read_list()
    if is_read or context.request.resumed_request is not None:
        context.origin = await _find_origin(context, origins, placement)
    _log_origin(context)
    if context.origin is None:
        return DirectRefusal(
            RefusalReason.STREAM_UNKNOWN, retry_after_s=UNKNOWN_RETRY_S
        )
    if not placement.has_target_of_origin(context):
        return DirectRefusal(
            RefusalReason.VERSION_GONE, retry_after_s=VERSION_GONE_RETRY_S
        )
    return None


async def _find_origin(
    context: RunContext, origins: StreamOrigins, placement: Placement
) -> StreamOrigin | None:
    first_request = context.request.resumed_request
    if first_request is None:
        return placement.only_origin(context.admitted.service.name)
    return await origins.find(context.stream_key(first_request))


def _log_origin(context: RunContext) -> None:
    origin = context.origin
    _logger.info(
        'stream resumed by its caller',
        request=context.request.id,
        resume_after=context.request.resume_after,
        resumed_request=context.request.resumed_request,
        origin_service=None if origin is None else origin.service,
        origin_version=None if origin is None else origin.software_version,
    )

"""Finds requests that no target would complete, before anything is sent."""

from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason


def hopeless_refusal(
    context: RunContext, *, quarantine: CrashQuarantine, placement: Placement
) -> DirectRefusal | None:
    """Return the refusal of a hopeless request, ``None`` for all others."""
    found = quarantine.find(context.request)
    if found is not None:
        return DirectRefusal(
            RefusalReason.CRASHES_TARGETS, retry_after_s=found.left_s
        )
    pause_s = placement.requested_pause_s(context.admitted.service.name)
    if pause_s is None:
        return None
    return DirectRefusal(RefusalReason.TARGETS_PAUSED, retry_after_s=pause_s)

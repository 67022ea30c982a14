"""The lifecycle of a router."""

from transitions import Machine

STATES = ('starting', 'ready', 'stopping', 'stopped')
TRANSITIONS = (
    ('become_ready', 'starting', 'ready'),
    ('stop', ('starting', 'ready'), 'stopping'),
    ('end', 'stopping', 'stopped'),
)


class RouterLife:
    """State machine of a router, from ``starting`` to ``stopped``."""

    state: str

    def __init__(self) -> None:
        """Start in ``starting``, before the router joins the fleet."""
        self._machine = Machine(
            model=self,
            states=list(STATES),
            transitions=[list(transition) for transition in TRANSITIONS],
            initial='starting',
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    @property
    def takes_requests(self) -> bool:
        """Return whether new requests are served."""
        return self.state == 'ready'

    def move(self, trigger: str) -> bool:
        """Trigger a transition; return whether it applied."""
        return bool(self._machine.events[trigger].trigger(self))

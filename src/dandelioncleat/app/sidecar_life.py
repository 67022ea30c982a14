"""The lifecycle of a sidecar."""

import asyncio
from collections.abc import Callable
from enum import StrEnum

import structlog
from transitions import Machine

from dandelioncleat.core.failure import Code


class LifeState(StrEnum):
    """The states of a sidecar; it takes work in ``ready`` only."""

    STARTING = 'starting'
    JOINING = 'joining'
    READY = 'ready'
    LEAVING = 'leaving'
    STOPPED = 'stopped'


_TRANSITIONS: list[list[str]] = [
    ['join', LifeState.STARTING, LifeState.JOINING],
    ['open', LifeState.JOINING, LifeState.READY],
    ['leave', LifeState.STARTING, LifeState.LEAVING],
    ['leave', LifeState.JOINING, LifeState.LEAVING],
    ['leave', LifeState.READY, LifeState.LEAVING],
    ['end', LifeState.LEAVING, LifeState.STOPPED],
]

_logger = structlog.get_logger(__name__)


class SidecarLife:
    """Holds the state and logs its changes."""

    def __init__(self, incarnation: str) -> None:
        """Start in ``starting``."""
        self.state: LifeState = LifeState.STARTING
        self.left = asyncio.Event()
        self.ended = asyncio.Event()
        self._incarnation = incarnation
        self._listeners: list[Callable[[], None]] = []
        self._machine = Machine(
            model=None,
            states=list(LifeState),
            initial=LifeState.STARTING,
            auto_transitions=False,
        )
        self._machine.add_transitions(_TRANSITIONS)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the state changes."""
        self._listeners.append(listener)

    @property
    def is_ready(self) -> bool:
        """Return whether the sidecar takes work."""
        return self.state is LifeState.READY

    @property
    def refusal_code(self) -> Code | None:
        """Return the code with which new work is refused, if any."""
        match self.state:
            case LifeState.READY:
                return None
            case LifeState.LEAVING | LifeState.STOPPED:
                return Code.LEAVING
            case _:
                return Code.NOT_READY

    def join(self) -> None:
        """Note that the configuration and the fleet were read."""
        self._change('join')

    def open(self) -> None:
        """Note that the sidecar's own ``Join`` was read back."""
        self._change('open')

    def leave(self) -> None:
        """Note that new work is refused from now on."""
        self._change('leave')
        self.left.set()

    def end(self) -> None:
        """Note that the sidecar has stopped."""
        self._change('end')
        self.ended.set()

    def _change(self, trigger: str) -> None:
        self._machine.events[trigger].trigger(self)
        _logger.info(
            'sidecar state changed',
            state=self.state.value,
            incarnation=self._incarnation,
        )
        for listener in self._listeners:
            listener()

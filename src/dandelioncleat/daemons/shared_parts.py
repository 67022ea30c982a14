"""Connects the components that routers and sidecars share."""

from typing import NamedTuple

from aiohttp import ClientSession, web

from dandelioncleat.adapters.http_log import HttpLog
from dandelioncleat.adapters.peer_server import PeerServer, add_peer_routes
from dandelioncleat.adapters.websocket_peers import WebSocketPeers
from dandelioncleat.app.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationKeeper,
)
from dandelioncleat.app.fleet import FLEET_STREAM, FleetKeeper
from dandelioncleat.app.log_relay import LogRelay
from dandelioncleat.app.relay_handler import ask_newer_peer, live_routers
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.daemons.settings import Settings
from dandelioncleat.ports.peer import PeerHandler


class SharedParts(NamedTuple):
    """The components that every process of the fleet has."""

    fleet_secret: str
    log: HttpLog
    peers: WebSocketPeers
    relay: LogRelay
    configuration: ConfigurationKeeper
    fleet: FleetKeeper

    def peer_application(
        self,
        handler: PeerHandler,
    ) -> web.Application:
        """Return the application that answers the other processes."""
        application = web.Application()
        server = PeerServer(
            handler,
            fleet_secret=self.fleet_secret,
            version=lambda: self.configuration.current.version,
            on_version=lambda peer, version: (
                self.configuration.note_peer_version(
                    version,
                    peer,
                )
            ),
        )
        add_peer_routes(application, server)
        return application


class _Versions:
    """Connects the peers to the keeper, which is created after them."""

    def __init__(self) -> None:
        self.keeper: ConfigurationKeeper | None = None

    def current(self) -> int:
        return 0 if self.keeper is None else self.keeper.current.version

    def note_version(self, peer: str, version: int) -> None:
        if self.keeper is not None:
            self.keeper.note_peer_version(version, peer)


def new_shared_parts(
    settings: Settings,
    *,
    incarnation: Incarnation,
    session: ClientSession,
) -> SharedParts:
    """Connect the log, the peers and the streams that all processes read."""
    versions = _Versions()
    log = HttpLog(session, settings.platform.log_url)
    peers = WebSocketPeers(
        incarnation=incarnation,
        fleet_secret=settings.fleet_secret,
        version=versions.current,
        on_version=versions.note_version,
    )
    relay = LogRelay(
        log=log,
        incarnation=incarnation,
        data_centre=settings.data_centre,
        peers=peers,
        streams=(CONFIGURATION_STREAM, FLEET_STREAM),
    )
    configuration = ConfigurationKeeper(log=relay, producer=incarnation)
    fleet = FleetKeeper(log=relay, producer=incarnation)
    versions.keeper = configuration
    relay.routers = lambda: live_routers(fleet)
    configuration.on_newer_peer(lambda peer: ask_newer_peer(relay, fleet, peer))
    return SharedParts(
        settings.fleet_secret,
        log,
        peers,
        relay,
        configuration,
        fleet,
    )

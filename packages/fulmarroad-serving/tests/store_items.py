"""Items of the platform's store, and the state of a router that applies them."""

import json

from fulmarroad.audit import AuditTrail
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving import Dispatcher, FleetBounds, ReplicaItem
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._replica import ReplicaDelta
from fulmarroad_serving._replica_sync import _encode_delta, _read_delta
from fulmarroad_serving._router_state import RouterState

SOUND = ("servers/a-1", "servers/m-1", "servers/z-1")

ENTRY = {
    "ServiceName": "ledger",
    "Address": "127.0.0.1:9001",
    "Zone": "fes",
    "Version": "v1",
    "Capacity": 6,
    "LifecycleState": "healthy",
    "WarmupLeftMs": 0,
    "Sequence": 1,
    "born": 1000,
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Hostname": "a.example",
            "PathPrefix": "/",
            "RouteType": "idempotent",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 200,
            "ServiceName": "ledger",
        }
    ],
    "Services": [{"Name": "ledger"}],
}


def item(key, value, revision):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return ReplicaItem(key, revision, data)


def sound_items():
    rows = [item("op/config", CONFIG, 2)]
    return rows + [item(key, ENTRY, at) for at, key in enumerate(SOUND, start=3)]


class Router:
    """State of one router with the platform's decoder."""

    def __init__(self, port=1):
        self.now = 0.0
        self.dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
        self.pool = ConnectionPool(lambda: self.now)
        self.store = PlatformStore("127.0.0.1", port)
        self.state = RouterState(
            self.store, self.dispatcher, self.pool, AuditTrail(), lambda: self.now
        )

    @property
    def servers(self):
        rows = self.dispatcher.registry.usable("ledger")
        return tuple(f"servers/{row.instance.id}" for row in rows)

    @property
    def serves(self):
        return self.state.catalog.version == 7 and self.servers == SOUND

    def list(self, rows, at=100):
        self.state.apply_listing(rows, at, 60.0, "test")

    def change(self, rows):
        self.state.replica.at = self.state.replica.at or 1
        self.state.apply_changes(rows, 100, 60.0, "test")

    def pull(self, rows):
        """Apply a copy of a peer, as it comes over the network."""
        delta = ReplicaDelta(100, True, tuple(rows))
        self.state.apply_delta(_read_delta(_encode_delta(delta)), 60.0, "test")

    def restarted(self):
        """Return another start of the router, which reads the same store."""
        after = Router()
        after.list(self.state.replica.since(0).items)
        return after

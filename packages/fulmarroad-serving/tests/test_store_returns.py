"""The store comes back from a copy some seconds old and counts its revisions anew."""

import logging

import anyio
from store_standin import StandInStore

from fulmarroad.audit import AuditTrail
from fulmarroad.events import Event
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving import Dispatcher, FleetBounds
from fulmarroad_serving._beliefs import Beliefs
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._reader import StoreReader

CONFIG_S = 2.0
"""Time within which a change must be in force."""


def config(version, *hosts):
    routes = [
        {
            "Name": host,
            "Hostname": host,
            "PathPrefix": "/",
            "RouteType": "idempotent",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 200,
            "ServiceName": "ledger",
        }
        for host in hosts
    ]
    return {"Version": version, "Routes": routes, "Services": [{"Name": "ledger"}]}


def entry(state="healthy", sequence=1, **more):
    return {
        "ServiceName": "ledger",
        "Address": "127.0.0.1:9001",
        "Zone": "fes",
        "Capacity": 6,
        "LifecycleState": state,
        "WarmupLeftMs": 0,
        "Sequence": sequence,
        "born": 1000,
    } | more


class Router:
    """One router's beliefs, read from a store."""

    def __init__(self, port):
        clock = anyio.current_time
        store = PlatformStore("127.0.0.1", port)
        self.dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
        pool = ConnectionPool(clock)
        self.beliefs = Beliefs(store, self.dispatcher, pool, AuditTrail(), clock)
        self.reader = StoreReader(store, self.beliefs, lambda: True, clock, 1)

    def usable(self):
        self.beliefs.expire()
        rows = self.dispatcher.registry.usable("ledger")
        return sorted(row.instance.id for row in rows)

    def serves(self, host):
        return self.beliefs.index.route_for(host, "/") is not None


def read(test):
    """Run a test beside a router that reads a stand-in store."""

    async def go():
        store = StandInStore()
        store.put("op/config", config(7, "a.example"))
        store.put("servers/s-1", entry())
        store.put("servers/s-2", entry())
        await store.start()
        router = Router(store.port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(router.reader.run)
                with anyio.fail_after(2):
                    while len(router.usable()) < 2:
                        await anyio.sleep(0.02)
                await test(store, router)
                group.cancel_scope.cancel()
        finally:
            await store.stop()
            await anyio.sleep(0.01)

    anyio.run(go)


class TestLines:
    def test_a_listing_that_changes_nothing_shows(self, caplog):
        """A copy that is ahead of the store throws listings away; no line said so."""
        caplog.set_level(logging.INFO, "fulmarroad.serving")

        async def test(store, router):
            kept = store.keep_copy()
            store.put("op/config", config(8, "a.example"))
            await anyio.sleep(0.4)
            store.come_back(kept)
            await anyio.sleep(0.4)

        read(test)
        number = Event.STORE_LISTED.value.number
        rows = [row for row in caplog.records if getattr(row, "event", 0) == number]
        assert rows[0].era == 1
        assert rows[0].changed == 3
        assert rows[1].era == 2
        assert rows[1].at < rows[0].at + 1


class TestReturns:
    def test_what_is_written_after_the_return_is_in_force_in_time(self):
        """The store counts its revisions anew from an older one. What is written then
        has numbers that were seen before: a route that was added was answered 404, and
        a server that had said it leaves still got calls.
        """

        async def test(store, router):
            kept = store.keep_copy()
            for n in range(6):
                store.put("op/config", config(8 + n, "a.example"))
            await anyio.sleep(0.4)
            store.come_back(kept)
            await anyio.sleep(0.4)
            store.put("op/config", config(20, "a.example", "b.example"))
            store.put("servers/s-1", entry("draining", 2))
            await anyio.sleep(CONFIG_S)
            assert router.serves("b.example")
            assert router.usable() == ["s-2"]

        read(test)

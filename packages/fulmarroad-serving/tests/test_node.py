"""Lifecycle of a serving node run inside the test process."""

import json

import anyio
from serving_bed import OPEN, PlainCodec, free_port, make_catalog

from fulmarroad_serving import CallerLimits, FleetBounds, Instance, ReplicaItem
from fulmarroad_serving._lateness import SUSTAINED_SAMPLES
from fulmarroad_serving.bounded_log import BoundedLog
from fulmarroad_serving.contracts import (
    CatalogFact,
    InstanceFact,
    Listing,
    ServingSettings,
)
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.http_client import HttpClient
from fulmarroad_serving.node import ServingNode

HOST = "127.0.0.9"
CALLERS, READY, STATUS, PEERS, METRICS = (free_port(HOST) for _ in range(5))


class SingleServerStore:
    """A store with one configuration and one server."""

    def __init__(self, port):
        self.port = port
        self.answers = False

    async def list_all(self):
        if not self.answers:
            raise StoreError("away")
        items = (ReplicaItem("catalog", 2, b"x"), ReplicaItem("server", 3, b"x"))
        return Listing(3, items)

    async def watch(self, at, wait_s):
        await anyio.sleep(wait_s)
        return Listing(at, ())

    def decode(self, item):
        if item.key == "catalog":
            limits = CallerLimits(header_timeout_s=0.2, idle_timeout_s=9.0)
            return CatalogFact(make_catalog(routes=(OPEN,), limits=limits))
        server = Instance("s-1", "ledger", "127.0.0.1", self.port, "fes", 8)
        return InstanceFact(server)


class KeylessCodec(PlainCodec):
    """Add a request id to every call, since the client sends none."""

    def read_call(self, headers):
        return super().read_call([*headers, (b"x-id", b"c-1")])


def settings():
    return ServingSettings(
        router="router-a",
        data_centre="fes",
        host=HOST,
        callers_port=CALLERS,
        readiness_port=READY,
        admin_port=STATUS,
        peer_port=PEERS,
        metrics_port=METRICS,
        seeds=(HOST,),
        grace_s=4.0,
        bounds=FleetBounds(),
    )


async def get(port, path="/"):
    client = HttpClient(HOST, port)
    try:
        return await client.get(path, 1.0)
    finally:
        client.close()


async def wait_for_status(port, status):
    while True:
        try:
            if (await get(port)).status == status:
                return
        except StoreError:
            pass
        await anyio.sleep(0.02)


def run_node(test):
    async def run_test():
        store = SingleServerStore(1)
        log = BoundedLog("router-a", 1)
        node = ServingNode(settings(), KeylessCodec(), store, log, lambda: (HOST,))
        log.run = anyio.sleep_forever
        ended = anyio.Event()

        async def run():
            await node.run()
            ended.set()

        with anyio.fail_after(15):
            async with anyio.create_task_group() as group:
                group.start_soon(run)
                await wait_for_status(READY, 503)
                await test(node, store, ended)
                group.cancel_scope.cancel()

    anyio.run(run_test)


class TestLatenessLog:
    def test_a_late_loop_is_logged_once_when_it_begins_and_ends(self, caplog):
        """A VM gets more calls than its processor can handle. Without a log line,
        operators could not tell which router is overloaded.
        """
        store = SingleServerStore(1)
        log = BoundedLog("router-a", 1)
        node = ServingNode(settings(), KeylessCodec(), store, log, lambda: (HOST,))

        def step(since, late_s, now):
            for _ in range(SUSTAINED_SAMPLES):
                node._lateness.note(late_s)
            return node._log_lateness(since, now)

        with caplog.at_level("INFO", "fulmarroad.serving"):
            since = step(None, 0.001, 1.0)
            assert since is None
            since = step(since, 0.2, 2.0)
            since = step(since, 0.3, 3.0)
            assert since == 2.0
            assert step(since, 0.001, 5.5) is None
        logged = [(row.name_of_event, vars(row)) for row in caplog.records]
        assert [name for name, _ in logged] == ["loop_late", "loop_on_time"]
        assert logged[0][1]["late_s"] == 0.2
        assert (logged[1][1]["seconds"], logged[1][1]["worst_s"]) == (3.5, 0.3)


class TestRefusedWorkspacesLog:
    def test_refusals_of_a_workspace_are_logged_with_its_share(self, caplog):
        """A workspace gets far less than others. Without its share and the granted
        amounts in the log, operators could not tell chance from the router's limit.
        """
        store = SingleServerStore(1)
        log = BoundedLog("router-a", 1)
        node = ServingNode(settings(), KeylessCodec(), store, log, lambda: (HOST,))
        shares = node._dispatcher.shares
        shares.note_asked("large", 900.0, 10.0)
        shares.note_asked("small", 100.0, 10.0)
        shares.note_got("large", 200.0, 10.0)
        shares.note_got("small", 100.0, 10.0)
        node._app.ends.note("large", "above_share")
        with caplog.at_level("INFO", "fulmarroad.serving"):
            node._outcome_log.log(10.0)
        (logged,) = (vars(row) for row in caplog.records)
        assert logged["workspace"] == "large"
        assert logged["ends"] == {"above_share": 1}
        assert (logged["asked"], logged["got"], logged["share_level"]) == (
            900,
            200,
            200,
        )


class TestLifecycle:
    def test_ready_once_the_configuration_is_loaded_and_unready_while_draining(self):
        """A process starts while the store is unreachable and is later stopped. If it
        were ready too early, it would refuse calls; if it stopped immediately, it would
        lose running calls.
        """

        async def test(node, store, ended):
            await anyio.sleep(0.3)
            assert (await get(READY)).status == 503
            store.answers = True
            await wait_for_status(READY, 200)
            assert (await get(CALLERS, "/nowhere/")).status == 404
            node._request_drain("test")
            await wait_for_status(READY, 503)
            reply = await get(CALLERS, "/nowhere/")
            assert reply.status == 404
            with anyio.fail_after(4.0):
                await ended.wait()

        run_node(test)

    def test_incomplete_headers_are_rejected_after_the_configured_timeout(self):
        """A caller fails while it sends its headers. Without the configured timeout its
        connection would stay open, and the router would run out of file descriptors.
        """

        async def test(node, store, ended):
            store.answers = True
            await wait_for_status(READY, 200)
            async with await anyio.connect_tcp(HOST, CALLERS) as stream:
                await stream.send(b"GET /nowhere/ HTTP/1.1\r\nhost: svc")
                with anyio.fail_after(3.0):
                    reply = await stream.receive()
            assert reply.startswith(b"HTTP/1.1 408 ")
            node._request_drain("test")
            await ended.wait()

        run_node(test)

    def test_the_status_page_shows_configuration_and_servers(self):
        async def test(node, store, ended):
            store.answers = True
            await wait_for_status(READY, 200)
            status = json.loads((await get(STATUS)).body)
            assert status["version"] == 1
            assert status["reads_store"]
            assert status["servers"]["s-1"]["service"] == "ledger"
            metrics = (await get(METRICS, "/metrics")).body
            assert b"fulmarroad_catalog_version 1.0" in metrics
            node._request_drain("test")
            await ended.wait()

        run_node(test)

    def test_seeds_are_reloaded_and_kept_if_unreadable(self):
        async def test(node, store, ended):
            node._read_seeds = lambda: ("127.0.0.10",)
            node._reload()
            assert node._peers.seeds == ("127.0.0.10",)
            node._read_seeds = _unreadable
            node._reload()
            assert node._peers.seeds == ("127.0.0.10",)

        run_node(test)


def _unreadable():
    raise ValueError("no TOML")

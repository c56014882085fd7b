"""Tests of two routers on real sockets, one of which places the calls of the other."""

import random

import anyio
from owner_bed import CALL, make_dispatcher
from serving_bed import answer, chunk, event, free_port, run, stream_head

from fulmarroad.datagrams import PacketSocket
from fulmarroad_serving import Placement, SendOutcome
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_exchange import OwnerExchange, is_owner_message
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._reports import unpack

HOSTS = {"a": "127.0.0.2", "b": "127.0.0.3"}
INCARNATIONS = {"a": 5, "b": 7}


class Side:
    """One router: its decisions and its exchange with the other one."""

    def __init__(self, name, dispatcher, port):
        self.name, self.dispatcher, self.port = name, dispatcher, port
        owners = OwnerTable(dispatcher.registry.usable, me=name)
        owners.set_routers({"b": "fes"})
        number = INCARNATIONS[name]
        self.client = OwnerClient(
            name, number, dispatcher, owners, random.Random(1), anyio.current_time
        )
        self.granter = Granter(name, number, dispatcher, owners)
        dispatcher.on_progress = self.client.note_progress
        self.exchange = OwnerExchange(
            self.client,
            self.granter,
            lambda: HOSTS,
            lambda: INCARNATIONS,
            anyio.current_time,
        )

    def receive(self, data, host):
        row = unpack(data)
        assert is_owner_message(row)
        self.exchange.receive(row, host)

    async def run(self, *, task_status):
        with PacketSocket(HOSTS[self.name], self.port, self.receive, None) as packets:
            task_status.started()
            await self.exchange.run(
                lambda data, host: packets.send(data, host, self.port)
            )


def running(dispatcher):
    rows = dispatcher.registry.usable("drafting")
    return sum(dispatcher.load(row.instance.id).running for row in rows)


class TestExchange:
    def test_a_call_is_placed_and_counted_by_its_owner(self):
        async def test():
            port = free_port(HOSTS["a"])
            a, b = (Side(name, make_dispatcher(name), port) for name in "ab")
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    await group.start(a.run)
                    await group.start(b.run)
                    placement = await a.client.request("b", CALL, (), may_wait=True)
                    assert isinstance(placement, Placement)
                    ticket = a.dispatcher.send(CALL, placement, anyio.current_time())
                    assert running(b.dispatcher) == 1
                    a.dispatcher.end(ticket, SendOutcome.NOT_RUN, anyio.current_time())
                    while running(b.dispatcher):
                        await anyio.sleep(0.001)
                    group.cancel_scope.cancel()

        anyio.run(test)

    def test_a_held_call_gets_its_place_when_a_server_is_free(self):
        async def test():
            port = free_port(HOSTS["a"])
            a, b = (Side(name, make_dispatcher(name), port) for name in "ab")
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    await group.start(a.run)
                    await group.start(b.run)
                    tickets = []
                    while isinstance(
                        placed := await a.client.request("b", CALL, (), may_wait=False),
                        Placement,
                    ):
                        now = anyio.current_time()
                        tickets.append(a.dispatcher.send(CALL, placed, now))
                    results = []

                    async def ask():
                        results.append(
                            await a.client.request("b", CALL, (), may_wait=True)
                        )
                        group.cancel_scope.cancel()

                    group.start_soon(ask)
                    await anyio.sleep(0.02)
                    for ticket in tickets:
                        a.dispatcher.begin(ticket, anyio.current_time())
            assert isinstance(results[0], Placement)

        anyio.run(test)


class TestForwarding:
    """Tests of the forwarder with the owner of all servers at another router."""

    def connect(self, bed, *, silent=False):
        """Let a granter with the bed's own servers place the bed's calls."""
        owner = make_dispatcher("b", engines=0, plain=0)
        owner.set_catalog(bed.beliefs.catalog)
        for row in bed.dispatcher.registry.rows():
            owner.registry.put(row.instance, bed.now())
        owners = [
            OwnerTable(d.registry.usable, me=name)
            for d, name in ((bed.dispatcher, "a"), (owner, "b"))
        ]
        for table in owners:
            table.set_routers({"b": "fes"})
        granter = Granter("b", 7, owner, owners[1])
        client = OwnerClient(
            "a", 5, bed.dispatcher, owners[0], random.Random(1), bed.now
        )
        exchange = OwnerExchange(client, granter, lambda: HOSTS, dict, bed.now)
        bed.dispatcher.on_progress = client.note_progress
        bed.forwarder.placer.owner_client = client

        def send(data, host):
            if not silent:
                exchange.receive(unpack(data), host)

        exchange._send = send
        return client, owner

    def flush(self, client):
        for name, data in client.pop_notes():
            client.send(name, data)

    def test_a_call_goes_where_its_owner_says(self):
        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                writer.write(chunk(event(1)) + b"0\r\n\r\n")

            for name in ("s-1", "s-2"):
                await bed.serve(name, script, "drafting")
            client, owner = self.connect(bed)
            owner.load("s-1").send("s-1", 200_000, bed.now())
            caller = await bed.call("/draft/1")
            assert (caller.status, caller.whole) == (200, True)
            assert [row.server for row in bed.arrivals] == ["s-2"]
            self.flush(client)
            assert owner.load("s-2").running == 0

        run(test)

    def test_a_call_is_answered_without_its_owner(self):
        """The owner of all servers has crashed. Its callers would get nothing although
        the servers are there.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(answer(200, b"done", arrival.header("x-id")))

            await bed.serve("s-1", script)
            self.connect(bed, silent=True)
            caller = await bed.call()
            assert caller.status == 200

        run(test)

    def test_a_place_at_an_unreachable_server_is_returned(self):
        """A server is gone, and the owner does not know. Places there that nobody uses
        would count as running calls.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(answer(200, b"done", arrival.header("x-id")))

            await bed.serve("s-1", script)
            await bed.serve("s-2", script)
            client, owner = self.connect(bed)
            bed._servers[0].close()
            for number in range(6):
                caller = await bed.call(request_id=f"c-{number}")
                assert caller.status == 200
            self.flush(client)
            assert [owner.load(name).running for name in ("s-1", "s-2")] == [0, 0]

        run(test)

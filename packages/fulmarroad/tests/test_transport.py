"""Routers talk over gRPC on loopback, with and without mutual TLS."""

import anyio
import pytest
import trustme

from fulmarroad import messages as m
from fulmarroad.exceptions import MessageError, TransportError
from fulmarroad.transport import (
    Outbox,
    PeerChannel,
    PeerServer,
    TlsFiles,
    TrafficCount,
)
from fulmarroad.types import Epoch, ShardId

SHARD = ShardId("drafting", "fes-1", 0)
EPOCH = Epoch("router-b", 1, 1)
HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peer:
    """Answer a hello with a welcome, and questions with the version asked for."""

    def __init__(self):
        self.sends = {}
        self.detached = anyio.Event()
        self.heard = []

    def on_attached(self, peer, send):
        self.sends[peer] = send
        return 1

    def on_message(self, peer, message):
        self.heard.append((peer, message))
        self.sends[peer](m.Welcome(SHARD, EPOCH))

    def on_detached(self, peer, handle):
        self.detached.set()

    async def on_request(self, peer, message):
        return m.TablesGiven(message.above)


def tls_files(authority, *hosts):
    certificate = authority.issue_cert(*hosts)
    return TlsFiles(
        b"".join(blob.bytes() for blob in certificate.cert_chain_pems),
        certificate.private_key_pem.bytes(),
        authority.cert_pem.bytes(),
    )


@pytest.fixture
def authority():
    return trustme.CA()


async def serve(group, peer, tls=None, cut=lambda peer: False):
    server = PeerServer(peer, TrafficCount(), host=HOST, port=0, tls=tls, cut=cut)
    ready = anyio.Event()
    group.start_soon(server.run, ready.set)
    await ready.wait()
    return server.port


def channel(port, tls=None, cut=lambda peer: False):
    return PeerChannel(
        "router-a", "router-b", HOST, port, TrafficCount(), tls=tls, cut=cut
    )


async def greet(line):
    """Say hello on a stream; return the first answer."""
    outbox = Outbox(TrafficCount())
    outbox.put(m.Hello(SHARD, "router-a", 1, "fes-1", 0.0))
    answers = []

    def take(message):
        answers.append(message)
        outbox.close()

    with pytest.raises(TransportError):
        await line.attach(outbox, take, lambda: None)
    return answers


@pytest.mark.anyio
class TestPeers:
    @pytest.mark.parametrize("encrypted", [False, True])
    async def test_stream_and_question(self, authority, encrypted):
        tls = tls_files(authority, HOST) if encrypted else None
        peer = Peer()
        async with anyio.create_task_group() as group:
            line = channel(await serve(group, peer, tls), tls)
            assert await greet(line) == [m.Welcome(SHARD, EPOCH)]
            assert peer.heard[0][0] == "router-a"
            given = await line.ask(m.TablesWanted(7), m.TablesGiven, 5.0)
            assert given.version == 7
            await peer.detached.wait()
            await line.close()
            group.cancel_scope.cancel()

    async def test_router_of_another_authority_is_refused(self, authority):
        # Somebody in the platform's network opens a connection to the peer port. What
        # gets in there could lend units, grant leases and hand out tables.
        mine = tls_files(authority, HOST)
        strangers = trustme.CA().issue_cert(HOST)
        stranger = TlsFiles(
            strangers.cert_chain_pems[0].bytes(),
            strangers.private_key_pem.bytes(),
            authority.cert_pem.bytes(),
        )
        async with anyio.create_task_group() as group:
            line = channel(await serve(group, Peer(), mine), stranger)
            with pytest.raises(TransportError):
                await line.ask(m.TablesWanted(7), m.TablesGiven, 5.0)
            await line.close()
            group.cancel_scope.cancel()

    async def test_plain_connection_is_refused_where_tls_is_on(self, authority):
        tls = tls_files(authority, HOST)
        async with anyio.create_task_group() as group:
            line = channel(await serve(group, Peer(), tls))
            with pytest.raises(TransportError):
                await line.ask(m.TablesWanted(7), m.TablesGiven, 5.0)
            await line.close()
            group.cancel_scope.cancel()

    async def test_cut_peer_is_not_heard(self):
        async with anyio.create_task_group() as group:
            port = await serve(group, Peer(), cut=lambda peer: peer == "router-a")
            line = channel(port)
            with pytest.raises(TransportError):
                await line.ask(m.TablesWanted(7), m.TablesGiven, 5.0)
            await line.close()
            group.cancel_scope.cancel()

    async def test_answer_of_another_type_is_an_error(self):
        async with anyio.create_task_group() as group:
            line = channel(await serve(group, Peer()))
            with pytest.raises(TransportError, match="invalid reply"):
                await line.ask(m.TablesWanted(7), m.KeyRecorded, 5.0)
            await line.close()
            group.cancel_scope.cancel()


@pytest.mark.anyio
class TestOutbox:
    async def test_urgent_message_takes_the_patient_ones_along(self):
        outbox = Outbox(TrafficCount())
        outbox.put(m.Started(SHARD, "l1"))
        outbox.put(m.Withdraw(SHARD, "d1"))
        frames = outbox.frames()
        frame = await anext(frames)
        assert m.decode(frame) == (m.Started(SHARD, "l1"), m.Withdraw(SHARD, "d1"))

    async def test_peer_that_reads_nothing_is_dropped(self):
        # A frozen peer's stream stays open; its messages would fill the memory here.
        outbox = Outbox(TrafficCount())
        for number in range(5000):
            outbox.put(m.Withdraw(SHARD, f"d{number}"))
        assert outbox.closed
        assert [frame async for frame in outbox.frames()] == []


class TestNonsense:
    def test_is_no_message(self):
        with pytest.raises(MessageError):
            m.decode_one(m.encode(m.Started(SHARD, "l")), m.Withdraw)

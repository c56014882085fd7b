"""gRPC between routers on loopback, with and without mutual TLS."""

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
    """Answer a `Hello` with a `Welcome`, and requests with the requested version."""

    def __init__(self):
        self.sends = {}
        self.detached = anyio.Event()
        self.received = []

    def on_attached(self, peer, send):
        self.sends[peer] = send
        return 1

    def on_message(self, peer, message):
        self.received.append((peer, message))
        self.sends[peer](m.Welcome(SHARD, EPOCH))

    def on_detached(self, peer, handle):
        self.detached.set()

    async def on_request(self, peer, message):
        return m.TablesReply(message.above)


def tls_files(authority, *hosts):
    certificate = authority.issue_cert(*hosts)
    return TlsFiles(
        b"".join(pem.bytes() for pem in certificate.cert_chain_pems),
        certificate.private_key_pem.bytes(),
        authority.cert_pem.bytes(),
    )


@pytest.fixture
def authority():
    return trustme.CA()


async def start_server(group, peer, tls=None, cut=lambda peer: False):
    server = PeerServer(peer, TrafficCount(), host=HOST, port=0, tls=tls, cut=cut)
    ready = anyio.Event()
    group.start_soon(server.run, ready.set)
    await ready.wait()
    return server.port


def create_channel(port, tls=None, cut=lambda peer: False):
    return PeerChannel(
        "router-a", "router-b", HOST, port, TrafficCount(), tls=tls, cut=cut
    )


async def send_hello(peer_channel):
    """Send a `Hello` on a stream and return the first answer."""
    outbox = Outbox(TrafficCount())
    outbox.put(m.Hello(SHARD, "router-a", 1, "fes-1", 0.0))
    answers = []

    def on_message(message):
        answers.append(message)
        outbox.close()

    with pytest.raises(TransportError):
        await peer_channel.attach(outbox, on_message, lambda: None)
    return answers


@pytest.mark.anyio
class TestPeers:
    @pytest.mark.parametrize("encrypted", [False, True])
    async def test_stream_and_request_are_answered(self, authority, encrypted):
        tls = tls_files(authority, HOST) if encrypted else None
        peer = Peer()
        async with anyio.create_task_group() as group:
            peer_channel = create_channel(await start_server(group, peer, tls), tls)
            assert await send_hello(peer_channel) == [m.Welcome(SHARD, EPOCH)]
            assert peer.received[0][0] == "router-a"
            tables = await peer_channel.ask(m.TablesRequest(7), m.TablesReply, 5.0)
            assert tables.version == 7
            await peer.detached.wait()
            await peer_channel.close()
            group.cancel_scope.cancel()

    async def test_router_of_another_authority_is_refused(self, authority):
        # Any host in the platform's network can connect to the peer port. An unknown
        # peer must not be able to lend units, grant leases or send tables.
        server_tls = tls_files(authority, HOST)
        foreign_certificate = trustme.CA().issue_cert(HOST)
        foreign_tls = TlsFiles(
            foreign_certificate.cert_chain_pems[0].bytes(),
            foreign_certificate.private_key_pem.bytes(),
            authority.cert_pem.bytes(),
        )
        async with anyio.create_task_group() as group:
            peer_channel = create_channel(
                await start_server(group, Peer(), server_tls), foreign_tls
            )
            with pytest.raises(TransportError):
                await peer_channel.ask(m.TablesRequest(7), m.TablesReply, 5.0)
            await peer_channel.close()
            group.cancel_scope.cancel()

    async def test_plain_connection_is_refused_when_tls_is_enabled(self, authority):
        tls = tls_files(authority, HOST)
        async with anyio.create_task_group() as group:
            peer_channel = create_channel(await start_server(group, Peer(), tls))
            with pytest.raises(TransportError):
                await peer_channel.ask(m.TablesRequest(7), m.TablesReply, 5.0)
            await peer_channel.close()
            group.cancel_scope.cancel()

    async def test_requests_of_a_cut_peer_are_refused(self):
        async with anyio.create_task_group() as group:
            port = await start_server(
                group, Peer(), cut=lambda peer: peer == "router-a"
            )
            peer_channel = create_channel(port)
            with pytest.raises(TransportError):
                await peer_channel.ask(m.TablesRequest(7), m.TablesReply, 5.0)
            await peer_channel.close()
            group.cancel_scope.cancel()

    async def test_reply_of_another_type_is_an_error(self):
        async with anyio.create_task_group() as group:
            peer_channel = create_channel(await start_server(group, Peer()))
            with pytest.raises(TransportError, match="invalid reply"):
                await peer_channel.ask(m.TablesRequest(7), m.KeyRecorded, 5.0)
            await peer_channel.close()
            group.cancel_scope.cancel()


@pytest.mark.anyio
class TestOutbox:
    async def test_urgent_message_is_sent_together_with_delayed_ones(self):
        outbox = Outbox(TrafficCount())
        outbox.put(m.Started(SHARD, "l1"))
        outbox.put(m.Withdraw(SHARD, "d1"))
        frames = outbox.frames()
        frame = await anext(frames)
        assert m.decode(frame) == (m.Started(SHARD, "l1"), m.Withdraw(SHARD, "d1"))

    async def test_queue_overflow_closes_the_stream(self):
        # A frozen peer's stream stays open, and its queue would fill the memory.
        outbox = Outbox(TrafficCount())
        for number in range(5000):
            outbox.put(m.Withdraw(SHARD, f"d{number}"))
        assert outbox.closed
        assert [frame async for frame in outbox.frames()] == []


class TestDecodeOne:
    def test_rejects_a_message_of_another_type(self):
        with pytest.raises(MessageError):
            m.decode_one(m.encode(m.Started(SHARD, "l")), m.Withdraw)

"""Tests of reading the configuration service over HTTP, on a fake connection."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from fulmarroad.configuration import HttpConfigurationSource
from fulmarroad.exceptions import ConfigurationServiceError


class Backend(httpcore.AsyncNetworkBackend):
    """Answer each connection with the same bytes and keep what was asked."""

    def __init__(self, answer=b"", error=None):
        self._answer = answer
        self._error = error
        self.asked = b""

    async def connect_tcp(self, host, port, **options):
        if self._error:
            raise self._error
        return Stream(self, self._answer)


class Stream(httpcore.AsyncMockStream):
    def __init__(self, backend, answer):
        super().__init__([answer])
        self._backend = backend

    async def write(self, buffer, timeout=None):
        self._backend.asked += buffer


def answer(status, body=b"", etag='"e1"'):
    head = f"HTTP/1.1 {status}\r\nETag: {etag}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read(backend, method, *arguments):
    async def main():
        source = HttpConfigurationSource("http://127.0.0.1:9/base/", backend=backend)
        return await getattr(source, method)(*arguments)

    return anyio.run(main)


class TestReading:
    def test_asks_with_the_entity_tag_and_the_wish_to_wait(self):
        backend = Backend(answer("304 Not Modified"))
        reply = read(backend, "manifest", '"e1"', 30.0)
        assert reply.body is None
        head = backend.asked.lower()
        assert head.startswith(b"get /base/manifest http/1.1")
        assert b'if-none-match: "e1"' in head
        assert b"prefer: wait=30" in head

    def test_returns_a_value_with_its_tag(self):
        reply = read(Backend(answer("200 OK", b"version = 1")), "vm_list", "", 0.0)
        assert (reply.etag, reply.body) == ('"e1"', b"version = 1")

    def test_asks_for_a_part_by_its_hash(self):
        backend = Backend(answer("200 OK", b"part"))
        assert read(backend, "part", "ab" * 32) == b"part"
        assert backend.asked.startswith(b"GET /base/parts/" + b"ab" * 32)


class TestFailures:
    """
    The service is down, breaks off, answers nonsense or far too much. The task that
    reads it must meet one kind of error, else it would die and no change would arrive.
    """

    @pytest.mark.parametrize(
        "backend",
        [
            Backend(error=httpcore.ConnectError("refused")),
            Backend(error=httpcore.ConnectTimeout("slow")),
            Backend(answer("503 Unavailable")),
            Backend(answer("404 Not Found")),
            Backend(answer("304 Not Modified")[:-20]),
            Backend(answer("200 OK", b"half")[:-2]),
            Backend(b"SSH-2.0-nonsense\r\n"),
            Backend(answer("200 OK", b"x" * 1_000_001)),
        ],
    )
    def test_each_is_an_error_of_the_service(self, backend):
        with pytest.raises(ConfigurationServiceError):
            read(backend, "part", "00")

"""Tests of reading the configuration service over HTTP, with a fake network."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from fulmarroad.configuration import HttpConfigurationSource
from fulmarroad.exceptions import ConfigurationServiceError


class FakeNetwork(httpcore.AsyncNetworkBackend):
    """Send the same bytes on each connection and record the request bytes."""

    def __init__(self, response=b"", error=None):
        self._response = response
        self._error = error
        self.asked = b""

    async def connect_tcp(self, host, port, **options):
        if self._error:
            raise self._error
        return FakeStream(self, self._response)


class FakeStream(httpcore.AsyncMockStream):
    def __init__(self, backend, response):
        super().__init__([response])
        self._backend = backend

    async def write(self, buffer, timeout=None):
        self._backend.asked += buffer


def http_response(status, body=b"", etag='"e1"'):
    head = f"HTTP/1.1 {status}\r\nETag: {etag}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read(backend, method, *arguments):
    async def main():
        source = HttpConfigurationSource("http://127.0.0.1:9/base/", backend=backend)
        return await getattr(source, method)(*arguments)

    return anyio.run(main)


class TestRequests:
    def test_sends_the_entity_tag_and_the_preferred_wait(self):
        backend = FakeNetwork(http_response("304 Not Modified"))
        reply = read(backend, "manifest", '"e1"', 30.0)
        assert reply.body is None
        request = backend.asked.lower()
        assert request.startswith(b"get /base/manifest http/1.1")
        assert b'if-none-match: "e1"' in request
        assert b"prefer: wait=30" in request

    def test_returns_a_value_with_its_entity_tag(self):
        reply = read(
            FakeNetwork(http_response("200 OK", b"version = 1")), "vm_list", "", 0.0
        )
        assert (reply.etag, reply.body) == ('"e1"', b"version = 1")

    def test_requests_a_part_by_its_sha256(self):
        backend = FakeNetwork(http_response("200 OK", b"part"))
        assert read(backend, "part", "ab" * 32) == b"part"
        assert backend.asked.startswith(b"GET /base/parts/" + b"ab" * 32)


class TestFailures:
    """
    Guard against a polling task that ends with an unexpected exception, so that no
    change arrives any more. The service refuses connections, closes them early, or
    sends invalid or oversized answers; each must raise the one error that is handled.
    """

    @pytest.mark.parametrize(
        "backend",
        [
            FakeNetwork(error=httpcore.ConnectError("refused")),
            FakeNetwork(error=httpcore.ConnectTimeout("slow")),
            FakeNetwork(http_response("503 Unavailable")),
            FakeNetwork(http_response("404 Not Found")),
            FakeNetwork(http_response("304 Not Modified")[:-20]),
            FakeNetwork(http_response("200 OK", b"half")[:-2]),
            FakeNetwork(b"SSH-2.0-nonsense\r\n"),
            FakeNetwork(http_response("200 OK", b"x" * 1_000_001)),
        ],
    )
    def test_every_failure_raises_configuration_service_error(self, backend):
        with pytest.raises(ConfigurationServiceError):
            read(backend, "part", "00")

"""Tests of the admin port over TLS, with the router's server and the real client."""

from __future__ import annotations

import anyio
import anyio.to_thread
import trustme

from fulmarroad_ctl._client import AdminClient
from fulmarroad_router.http_server import HttpServer
from fulmarroad_router.settings import TlsSettings


async def respond(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b'{"state": "open"}'})


def query(tmp_path, make_url, *, authority):
    """Serve over TLS; return the result of a client that trusts `authority`."""
    own = trustme.CA()
    certificate = own.issue_cert("127.0.0.1")
    certificate.cert_chain_pems[0].write_to_path(tmp_path / "certificate")
    certificate.private_key_pem.write_to_path(tmp_path / "key")
    own.cert_pem.write_to_path(tmp_path / "own")
    trustme.CA().cert_pem.write_to_path(tmp_path / "other")
    tls = TlsSettings(str(tmp_path / "certificate"), str(tmp_path / "key"), "unused")

    async def main():
        bound = []
        ready = anyio.Event()

        def on_ready(port):
            bound.append(port)
            ready.set()

        server = HttpServer(respond, "127.0.0.1", 0, tls=tls, on_ready=on_ready)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await ready.wait()
            client = AdminClient(make_url(bound[0]), "t", str(tmp_path / authority))
            result = await anyio.to_thread.run_sync(client.get, "/status")
            group.cancel_scope.cancel()
        return result

    return anyio.run(main)


class TestAdminOverTls:
    """Guard against a leak of the admin token when an operator queries a router across
    the network. Without TLS, or with a client that accepts a certificate of another
    authority, an attacker could read the token and drain the fleet.
    """

    def test_answers_client_that_trusts_the_authority(self, tmp_path):
        result = query(tmp_path, "https://127.0.0.1:{}".format, authority="own")
        assert result.ok_value == {"state": "open"}

    def test_client_rejects_certificate_of_another_authority(self, tmp_path):
        result = query(tmp_path, "https://127.0.0.1:{}".format, authority="other")
        assert "CERTIFICATE_VERIFY_FAILED" in result.err_value.message

    def test_plain_http_request_fails(self, tmp_path):
        result = query(tmp_path, "http://127.0.0.1:{}".format, authority="own")
        assert result.is_err()

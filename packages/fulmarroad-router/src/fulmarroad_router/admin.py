"""HTTP application for operators, on a separate port with token authentication."""

from __future__ import annotations

import hmac
import json
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol
from urllib.parse import parse_qs

from fulmarroad.events import Event, emit
from fulmarroad_router.app import Receive, Scope, SendEvent
from fulmarroad_router.calls import bearer_token

logger = logging.getLogger("fulmarroad.router")

MAX_WAIT_S = 30.0
MAX_BODY_BYTES = 64 * 1024

Query = Mapping[str, str]


class AdminError(Exception):
    """Report an error to an operator, as an HTTP status and a message."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class Operations(Protocol):
    """Provide the operations of the admin port."""

    def healthy(self) -> bool:
        """Return whether the process is alive."""

    def ready(self) -> bool:
        """Return whether the load balancer may send calls."""

    def status(self) -> dict[str, Any]:
        """Return the router's state."""

    def explain(self, route: str, workspace: str) -> dict[str, Any]:
        """Return where a call would be routed now; raise `AdminError`."""

    def tables(self) -> dict[str, Any]:
        """Return the tables in force, without keys."""

    async def audit(self, after: int, wait_s: float) -> list[dict[str, Any]]:
        """Return audit records after a sequence number.

        If there are none yet, wait up to `wait_s` seconds for the next one.
        """

    def drain(self, cause: str) -> None:
        """Start the graceful shutdown."""

    def cut(self, peers: list[str]) -> None:
        """Block traffic with peers; raise `AdminError` unless settings allow it."""


class AdminApp:
    """Serve the HTTP requests of operators."""

    def __init__(self, operations: Operations, token: str) -> None:
        self._operations = operations
        self._token = token.encode()
        self._routes: dict[
            tuple[str, str], Callable[[Query, bytes], Awaitable[Any]]
        ] = {
            ("GET", "/status"): self._status,
            ("GET", "/explain"): self._explain,
            ("GET", "/tables"): self._tables,
            ("GET", "/audit"): self._audit,
            ("POST", "/drain"): self._drain,
            ("POST", "/bench/cut"): self._cut,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        try:
            status, document = 200, await self._answer(scope, receive)
        except AdminError as error:
            status, document = error.status, {"error": str(error)}
        body = json.dumps(document).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    async def _answer(self, scope: Scope, receive: Receive) -> Any:
        method, path = scope["method"], scope["path"]
        if path == "/healthz":
            return self._probe(self._operations.healthy(), "not healthy")
        if path == "/readyz":
            return self._probe(self._operations.ready(), "not ready")
        self._authenticate(scope)
        handler = self._routes.get((method, path))
        if handler is None:
            raise AdminError(404, f"There is no {method} {path} on the admin port.")
        query = {
            name: values[-1]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        return await handler(query, await _read_body(receive))

    def _probe(self, passed: bool, reason: str) -> dict[str, Any]:
        if not passed:
            raise AdminError(503, reason)
        return {"ok": True}

    def _authenticate(self, scope: Scope) -> None:
        presented = bearer_token(scope["headers"]).encode("latin-1")
        if not hmac.compare_digest(presented, self._token):
            client = scope.get("client") or ("", 0)
            emit(logger, Event.ADMIN_REJECTED, client=client[0], path=scope["path"])
            raise AdminError(401, "Show the admin token as `Authorization: Bearer`.")

    async def _status(self, query: Query, body: bytes) -> Any:
        return self._operations.status()

    async def _explain(self, query: Query, body: bytes) -> Any:
        route = query.get("route", "")
        if not route:
            raise AdminError(400, "Name the route: /explain?route=NAME.")
        return self._operations.explain(route, query.get("workspace", ""))

    async def _tables(self, query: Query, body: bytes) -> Any:
        return self._operations.tables()

    async def _audit(self, query: Query, body: bytes) -> Any:
        after = _parse_whole_number(query, "after")
        wait_s = min(MAX_WAIT_S, float(_parse_whole_number(query, "wait_s")))
        return {"records": await self._operations.audit(after, wait_s)}

    async def _drain(self, query: Query, body: bytes) -> Any:
        self._operations.drain("operator")
        return {"draining": True}

    async def _cut(self, query: Query, body: bytes) -> Any:
        try:
            peers = json.loads(body)["peers"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise AdminError(400, 'Send {"peers": [names]}.') from error
        if not isinstance(peers, list):
            raise AdminError(400, 'Send {"peers": [names]}.')
        self._operations.cut([str(peer) for peer in peers])
        return {"cut": peers}


def _parse_whole_number(query: Query, name: str) -> int:
    value = query.get(name, "0")
    if not value.isascii() or not value.isdigit() or len(value) > 15:
        raise AdminError(400, f"`{name}` must be a whole number.")
    return int(value)


async def _read_body(receive: Receive) -> bytes:
    content = bytearray()
    while True:
        event = await receive()
        content += event.get("body", b"")
        if len(content) > MAX_BODY_BYTES:
            raise AdminError(413, "The body is too large.")
        if not event.get("more_body", False):
            return bytes(content)

"""ASGI helpers: read request bodies, send answers, detect disconnected callers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from fulmarroad_router.exceptions import BodyTooLarge, CallError, Unauthorized

Headers = list[tuple[bytes, bytes]]
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
SendEvent = Callable[[dict[str, Any]], Awaitable[None]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection and are never forwarded."""


class CallerDisconnected(Exception):
    """Stop the work on a call whose caller has closed its connection."""


class AsgiResponder:
    """Send an answer through ASGI; `send` blocks while the caller reads slowly.

    `extra_headers` are added to every answer of a backend server.
    """

    def __init__(
        self, send: SendEvent, request_id: str, *, extra_headers: Headers
    ) -> None:
        self._send = send
        self._request_id = request_id
        self._extra_headers = extra_headers
        self._begun = False
        self.status = 0
        self.finished = False

    @property
    def begun(self) -> bool:
        """Return whether the status and headers have been sent."""
        return self._begun

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a backend server's answer."""
        await self._start(status, [*headers, *self._extra_headers])

    async def send(self, chunk: bytes) -> None:
        """Send one chunk of the body."""
        body = {"type": "http.response.body", "body": chunk, "more_body": True}
        await self._send(body)

    async def finish(self, last: bytes = b"") -> None:
        """Send the end of a complete answer, with an optional last chunk."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": last})

    async def error(self, error: CallError, extra_headers: Headers) -> None:
        """Send an error as JSON, with additional headers."""
        body = json.dumps({"error": error_document(error, self._request_id)}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *extra_headers,
        ]
        if isinstance(error, Unauthorized):
            headers.append((b"www-authenticate", b"Bearer"))
        await self._start(error.status, headers)
        self.finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def _start(self, status: int, headers: Headers) -> None:
        self._begun = True
        self.status = status
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send(start)


async def read_body(headers: Headers, receive: Receive, max_bytes: int) -> bytes:
    """Return a request's body.

    Raise `BodyTooLarge` above `max_bytes`, and `CallerDisconnected` if the caller
    disconnects before the end of the body.
    """
    length = next((value for name, value in headers if name == b"content-length"), b"")
    if length and (not length.isdigit() or int(length) > max_bytes):
        raise BodyTooLarge(f"A body may have {max_bytes} bytes.")
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerDisconnected
        body += event.get("body", b"")
        if len(body) > max_bytes:
            raise BodyTooLarge(f"A body may have {max_bytes} bytes.")
        if not event.get("more_body", False):
            return bytes(body)


async def run_until_disconnect(
    run: Callable[[], Awaitable[None]], receive: Receive, responder: AsgiResponder
) -> None:
    """Run a call, and cancel it if its caller disconnects before the answer ends.

    Raise `CallerDisconnected` after a cancellation.
    """
    left = False

    async def watch_for_disconnect() -> None:
        nonlocal left
        while (await receive())["type"] != "http.disconnect":
            pass
        if not responder.finished:
            left = True
            group.cancel_scope.cancel()

    failure: CallError | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(watch_for_disconnect)
        try:
            await run()
        except CallError as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if left:
        raise CallerDisconnected


def error_document(error: CallError, request_id: str) -> dict[str, Any]:
    """Return the JSON object that describes an error to callers."""
    return {
        "message": error.message,
        "type": error.kind,
        "code": error.code,
        "ran": error.ran.value,
        "request_id": request_id,
        "retry_after_s": error.retry_after_s,
    }

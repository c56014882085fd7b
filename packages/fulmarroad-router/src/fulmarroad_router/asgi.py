"""What applications for callers need of ASGI: bodies, answers, callers who leave."""

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
"""Headers of one connection, which never go on to the next."""


class CallerDisconnected(Exception):
    """End the work on a call whose caller is gone."""


class AsgiResponder:
    """Send an answer through ASGI; awaiting `send` waits for a slow caller.

    `extra_headers` go with every answer of a backend server.
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
        """Tell whether the head of the answer has been sent."""
        return self._begun

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a backend server's answer."""
        await self._start(status, [*headers, *self._extra_headers])

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""
        body = {"type": "http.response.body", "body": chunk, "more_body": True}
        await self._send(body)

    async def finish(self, last: bytes = b"") -> None:
        """End the answer as whole."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": last})

    async def error(self, error: CallError, marks: Headers) -> None:
        """Send an error in the one JSON format, with headers that mark it."""
        body = json.dumps({"error": error_document(error, self._request_id)}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *marks,
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


async def read_body(headers: Headers, receive: Receive, most: int) -> bytes:
    """Return a request's body; raise `BodyTooLarge` or `CallerDisconnected`."""
    length = next((value for name, value in headers if name == b"content-length"), b"")
    if length and (not length.isdigit() or int(length) > most):
        raise BodyTooLarge(f"A body may have {most} bytes.")
    parts = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerDisconnected
        parts += event.get("body", b"")
        if len(parts) > most:
            raise BodyTooLarge(f"A body may have {most} bytes.")
        if not event.get("more_body", False):
            return bytes(parts)


async def run_until_disconnect(
    run: Callable[[], Awaitable[None]], receive: Receive, responder: AsgiResponder
) -> None:
    """Run a call; stop it and raise `CallerDisconnected` when its caller leaves."""
    left = False

    async def watch() -> None:
        nonlocal left
        while (await receive())["type"] != "http.disconnect":
            pass
        if not responder.finished:
            left = True
            group.cancel_scope.cancel()

    failure: CallError | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(watch)
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
    """Return the error as callers get it in JSON."""
    return {
        "message": error.message,
        "type": error.kind,
        "code": error.code,
        "ran": error.ran.value,
        "request_id": request_id,
        "retry_after_s": error.retry_after_s,
    }

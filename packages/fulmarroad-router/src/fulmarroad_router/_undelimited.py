"""Answers to HTTP/1.0 callers, which read no chunks.

uvicorn sends chunks to them too. Without chunks, only the close of the connection ends
an answer whose length isn't known. The kernel closes the connections of a process that
ends in the same way, so the connection is reset unless the answer is complete.
"""

from __future__ import annotations

from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from fulmarroad.delivery import end_orderly, reset_on_close
from fulmarroad_router.asgi import Receive, Scope, SendEvent


class UndelimitedApp:
    """Run an application for one request, and end its answer by closing."""

    def __init__(self, app: Any, cycle: RequestResponseCycle) -> None:
        self._app = app
        self._cycle = cycle
        self._undelimited = False

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""

        async def send_without_chunks(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                self._begin(message)
                await send(message)
            elif self._undelimited:
                await self._send_body(message, send)
            else:
                await send(message)

        await self._app(scope, receive, send_without_chunks)

    def _begin(self, message: dict[str, Any]) -> None:
        names = {name.lower() for name, _ in message.get("headers", ())}
        if b"content-length" in names:
            return
        self._undelimited = True
        self._cycle.chunked_encoding = False
        self._set_close_mode(orderly=False)

    async def _send_body(self, message: dict[str, Any], send: SendEvent) -> None:
        body = message.get("body", b"")
        # uvicorn takes this for the rest of the answer.
        self._cycle.expected_content_length = len(body)
        await send({**message, "body": body, "more_body": True})
        if not message.get("more_body", False):
            self._set_close_mode(orderly=True)
            await send({"type": "http.response.body", "body": b""})

    def _set_close_mode(self, *, orderly: bool) -> None:
        transport = self._cycle.transport
        raw = transport.get_extra_info("socket")
        if raw is None or transport.is_closing():
            return
        if orderly:
            end_orderly(raw)
        else:
            reset_on_close(raw)

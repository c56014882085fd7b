"""ASGI applications for the readiness, status and metrics pages."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from fulmarroad_router.asgi import Receive, Scope, SendEvent
from fulmarroad_router.gate import CallGate
from fulmarroad_serving._saturation import SaturationGuard

READY_STATUS = 200
UNREADY_STATUS = 503


class PageApp:
    """Answer every request with the result of a function of its path."""

    def __init__(self, page: Callable[[str], tuple[int, bytes, bytes]]) -> None:
        self._page = page

    async def __call__(self, scope: Scope, receive: Receive, send: SendEvent) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        status, kind, body = self._page(scope["path"])
        headers = [
            (b"content-type", kind),
            (b"content-length", str(len(body)).encode()),
        ]
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})


def readiness_page(
    gate: CallGate, saturation: SaturationGuard
) -> Callable[[str], tuple[int, bytes, bytes]]:
    """Return the page that tells a balancer whether to route callers here."""

    def page(path: str) -> tuple[int, bytes, bytes]:
        ready = gate.ready and not saturation.saturated
        state = "saturated" if saturation.saturated else gate.state.value
        return READY_STATUS if ready else UNREADY_STATUS, b"text/plain", state.encode()

    return page


def json_page(value: Callable[[], Any]) -> Callable[[str], tuple[int, bytes, bytes]]:
    """Return a page that shows a value as JSON."""

    def page(path: str) -> tuple[int, bytes, bytes]:
        return READY_STATUS, b"application/json", json.dumps(value()).encode()

    return page


def text_page(text: Callable[[], bytes]) -> Callable[[str], tuple[int, bytes, bytes]]:
    """Return a page that shows text."""

    def page(path: str) -> tuple[int, bytes, bytes]:
        return READY_STATUS, b"text/plain; version=0.0.4", text()

    return page

"""Stand-in for the platform: configuration service and VM list, read only.

On the data port: `GET /manifest`, `GET /parts/SHA256`, `GET /vms`. Manifest and VM list
have an `ETag`; with `If-None-Match` an unchanged one is answered 304, after up to
N seconds with `Prefer: wait=N` (RFC 7240). Every call counts, a waiting one once.

On the control port: `PUT /control/tables` takes JSON `{"version", "routes": [TOML, …],
"pools": [TOML, …]}`, one text for each part; `PUT /control/vms` takes the list as
TOML; `POST /control` takes orders (`Platform.control`); `GET /records` counts calls.
"""

from __future__ import annotations

import hashlib
import time
from collections import Counter
from typing import Any

import anyio
import fire
import tomli_w
from attrs import define, field

from fulmarroad_bench._server import (
    Call,
    CallerDisconnectedError,
    Listener,
    Receive,
    Scope,
    Send,
    read_call,
    respond,
    respond_json,
)
from fulmarroad_bench._standin_host import run_standins

TOML = "application/toml"
LONGEST_WAIT_S = 60.0
"""Seconds that a watch may wait at most."""


@define(eq=False)
class Value:
    """Hold a value that can be read and watched, and be out of order."""

    newest: bytes = b"version = 0\n"
    shown: bytes = b"version = 0\n"
    before: bytes = b"version = 0\n"
    down: bool = False
    stale: bool = False
    changed: anyio.Event = field(factory=anyio.Event)

    @property
    def etag(self) -> str:
        """Return the entity tag of what is shown now."""
        return f'"{hashlib.sha256(self.shown).hexdigest()[:16]}"'

    def put(self, raw: bytes) -> None:
        """Take a newer value; it is shown unless the service is stale."""
        self.before, self.newest = self.newest, raw
        if not self.stale:
            self._show(raw)

    def control(self, order: dict[str, Any], prefix: str = "") -> None:
        """Obey an order of the scenario."""
        self.down = bool(order.get(f"{prefix}down", self.down))
        self.stale = bool(order.get(f"{prefix}stale", self.stale))
        if order.get(f"{prefix}old"):
            self.stale = True
            self._show(self.before)
        elif not self.stale:
            self._show(self.newest)
        self._wake()

    def _show(self, raw: bytes) -> None:
        self.shown = raw
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


@define(eq=False)
class Platform:
    """Serve the tables and the VM list."""

    name: str = "platform"
    listener: Listener | None = None
    calls: Counter[str] = field(factory=Counter)
    call_times: list[float] = field(factory=list)
    slow_s: float = 0.0
    _parts: dict[str, bytes] = field(factory=dict)
    _manifest: Value = field(factory=Value)
    _vms: Value = field(factory=Value)

    async def run(self) -> None:
        """Do nothing: the platform has no work beside its calls."""

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the data port."""
        try:
            call = await read_call(scope, receive)
        except CallerDisconnectedError:
            return
        self.calls[call.path.split("/")[1]] += 1
        self.call_times.append(time.monotonic())
        await anyio.sleep(self.slow_s)
        if call.method != "GET":
            await respond_json(send, 405, {"error": "read only"})
        elif call.path == "/manifest":
            await self._watch(self._manifest, call, send)
        elif call.path == "/vms":
            await self._watch(self._vms, call, send)
        else:
            await self._part(call.path.removeprefix("/parts/"), send)

    async def control_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the control port."""
        call = await read_call(scope, receive)
        if call.path.endswith("/control/tables"):
            self.put_tables(call.json())
        elif call.path.endswith("/control/vms"):
            self._vms.put(call.body)
        elif call.path.endswith("/control"):
            self.control(call.json())
        await respond_json(send, 200, self.report())

    def put_tables(self, order: dict[str, Any]) -> None:
        """Show tables of a version; each text becomes one part."""
        rows: list[dict[str, Any]] = []
        for table in ("routes", "pools"):
            texts = order[table]
            for text in [texts] if isinstance(texts, str) else texts:
                raw = text.encode()
                digest = hashlib.sha256(raw).hexdigest()
                self._parts[digest] = raw
                row = {"table": table, "name": f"{table}-{len(rows)}"}
                rows.append({**row, "sha256": digest, "bytes": len(raw)})
        manifest = {"version": int(order["version"]), "part": rows}
        self._manifest.put(tomli_w.dumps(manifest).encode())

    def control(self, order: dict[str, Any]) -> None:
        """Obey an order of the scenario.

        `down`: configuration can't be read; `stale`: what is shown stays as it is
        until `stale` is false; `old`: the version before the newest is shown, and
        stays, as by a replica that lags. The same with `vms_` for the VM list. `slow_s`
        delays every answer.
        """
        self.slow_s = float(order.get("slow_s", self.slow_s))
        self._manifest.control(order)
        self._vms.control(order, "vms_")

    def report(self) -> dict[str, Any]:
        """Return the calls counted by path, and when they came."""
        return {"calls": dict(self.calls), "call_times": self.call_times}

    async def _watch(self, value: Value, call: Call, send: Send) -> None:
        known = call.headers.get("if-none-match", "")
        wait_s = _preferred_wait(call.headers.get("prefer", ""))
        if known == value.etag and wait_s and not value.down:
            with anyio.move_on_after(min(wait_s, LONGEST_WAIT_S)):
                await value.changed.wait()
        headers = (("etag", value.etag),)
        if value.down:
            await respond_json(send, 503, {"error": "the service is down"})
        elif known == value.etag:
            await respond(send, 304, b"", headers)
        else:
            await respond(send, 200, value.shown, headers, TOML)

    async def _part(self, digest: str, send: Send) -> None:
        raw = self._parts.get(digest)
        if self._manifest.down:
            await respond_json(send, 503, {"error": "the service is down"})
            return
        if raw is None:
            await respond_json(send, 404, {"error": "no such part"})
            return
        await respond(send, 200, raw, (("etag", f'"{digest}"'),), TOML)


def _preferred_wait(prefer: str) -> float:
    """Return the seconds of `Prefer: wait=N`, or 0."""
    for item in prefer.split(","):
        key, _, value = item.strip().partition("=")
        if key == "wait" and value.isdigit():
            return float(value)
    return 0.0


def main(port: int = 0, control_port: int = 0) -> None:
    """Run the stand-in for the platform.

    Args:
        port: data port.
        control_port: port for control and records.

    """
    run_standins([Platform()], [int(port)], control_port)


if __name__ == "__main__":
    fire.Fire(main)

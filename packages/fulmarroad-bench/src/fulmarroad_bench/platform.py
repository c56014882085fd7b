"""Stand-in for the platform: configuration service and VM list, read only.

On the data port: `GET /manifest`, `GET /parts/SHA256`, `GET /vms`. Manifest and VM list
have an `ETag`. With `If-None-Match`, an unchanged one is answered with status 304; with
`Prefer: wait=N` (RFC 7240) the answer waits up to N seconds for a change. Every call is
counted once, also one that waits.

On the control port: `PUT /control/tables` takes JSON `{"version", "routes": [TOML, …],
"pools": [TOML, …]}`, one text for each part; `PUT /control/vms` takes the list as
TOML; `POST /control` takes control orders (`Platform.control`); `GET /records` returns
the number of calls and their times.
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
"""Upper limit of `Prefer: wait=N`, in seconds."""


@define(eq=False)
class WatchedValue:
    """Hold a value that callers read and watch, and simulate faults of its service."""

    newest: bytes = b"version = 0\n"
    served: bytes = b"version = 0\n"
    before: bytes = b"version = 0\n"
    down: bool = False
    stale: bool = False
    changed: anyio.Event = field(factory=anyio.Event)

    @property
    def etag(self) -> str:
        """Return the entity tag of the version that is served now."""
        return f'"{hashlib.sha256(self.served).hexdigest()[:16]}"'

    def put(self, raw: bytes) -> None:
        """Store a newer version and serve it unless `stale` is set."""
        self.before, self.newest = self.newest, raw
        if not self.stale:
            self._serve(raw)

    def control(self, order: dict[str, Any], prefix: str = "") -> None:
        """Apply the fields of a control order whose names begin with `prefix`."""
        self.down = bool(order.get(f"{prefix}down", self.down))
        self.stale = bool(order.get(f"{prefix}stale", self.stale))
        if order.get(f"{prefix}old"):
            self.stale = True
            self._serve(self.before)
        elif not self.stale:
            self._serve(self.newest)
        self._notify_watchers()

    def _serve(self, raw: bytes) -> None:
        self.served = raw
        self._notify_watchers()

    def _notify_watchers(self) -> None:
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
    _manifest: WatchedValue = field(factory=WatchedValue)
    _vms: WatchedValue = field(factory=WatchedValue)

    async def run(self) -> None:
        """Do nothing: the platform has no background work."""

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
            await self._send_part(call.path.removeprefix("/parts/"), send)

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
        """Publish tables of a version; each text becomes one part."""
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
        """Apply a control order of the scenario.

        `down`: reads of the manifest and its parts fail; `stale`: the version served
        does not change until `stale` is false; `old`: the version before the newest is
        served and stays, as by a lagging replica. The same names with the prefix `vms_`
        apply to the VM list. `slow_s` delays every answer, in seconds.
        """
        self.slow_s = float(order.get("slow_s", self.slow_s))
        self._manifest.control(order)
        self._vms.control(order, "vms_")

    def report(self) -> dict[str, Any]:
        """Return the number of calls by path and the time of each call."""
        return {"calls": dict(self.calls), "call_times": self.call_times}

    async def _watch(self, value: WatchedValue, call: Call, send: Send) -> None:
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
            await respond(send, 200, value.served, headers, TOML)

    async def _send_part(self, digest: str, send: Send) -> None:
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

"""Stand-in for a plain service: a ledger, or bookings and charges.

It records each call before it answers. The answer is derived from the call's id and
body (`plain_answer`). It ignores idempotency keys: the routers have to ensure that a
call which must not be repeated runs once, and the records show whether it did. The id
is the header `X-Bench-Id`, else `X-Request-Id`.

On the control port, for each service: `POST /NAME/control`, `GET /NAME/records`.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from typing import Any

import anyio
import fire
from attrs import asdict, define, field

from fulmarroad_bench._answers import (
    BENCH_ID_HEADER,
    WORKSPACE_HEADER,
    plain_answer,
)
from fulmarroad_bench._server import (
    AbortConnectionError,
    Call,
    CallerDisconnectedError,
    Listener,
    Receive,
    Scope,
    Send,
    read_call,
    respond,
    respond_json,
    start_message,
    wait_for_disconnect,
)
from fulmarroad_bench._standin_host import (
    as_tuple,
    handle_control_request,
    run_standins,
)

SERVICE_S = 0.02
"""Default seconds that one call takes; the control order `slow` multiplies them."""


@define(eq=False)
class PlainRecord:
    """Record how one call went; times are monotonic seconds."""

    id: str
    workspace: str
    key: str
    method: str
    path: str
    body_sha256: str
    start: float
    end: float = 0.0
    state: str = "running"  # completed, hung, broken


@define(eq=False)
class PlainService:
    """Serve one plain service's data and control paths."""

    name: str
    service_s: float = SERVICE_S
    clock: Callable[[], float] = time.monotonic
    records: list[PlainRecord] = field(factory=list)
    refused: int = 0
    refusing: bool = False
    hanging: bool = False
    slow: float = 1.0
    listener: Listener | None = None
    _pending_breaks: list[int] = field(factory=list)

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the data port."""
        try:
            call = await read_call(scope, receive)
        except CallerDisconnectedError:
            return
        if self.refusing:
            self.refused += 1
            await respond_json(send, 503, {"error": {"message": "closed"}})
            return
        record = self._record_call(call)
        if self.hanging:
            record.state = "hung"
            await wait_for_disconnect(receive)
            return
        await anyio.sleep(self.service_s * self.slow)
        await self._answer(call, record, send)
        record.end = self.clock()
        record.state = "completed"

    async def run(self) -> None:
        """Do nothing: a plain service has no background work."""

    async def control_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the control port."""
        await handle_control_request(self, scope, receive, send)

    async def control(self, order: dict[str, Any]) -> None:
        """Apply a control order of the scenario.

        `slow`: factor by which calls take longer; `die`, `refuse`, `hang` (calls are
        recorded but not answered): true or false; `break_calls`: number of the next
        answers that break off after `after_bytes` bytes.
        """
        self.slow = float(order.get("slow", self.slow))
        self.hanging = bool(order.get("hang", self.hanging))
        self.refusing = bool(order.get("refuse", self.refusing))
        count = int(order.get("break_calls", 0))
        self._pending_breaks.extend([int(order.get("after_bytes", 10))] * count)
        if "die" in order and self.listener is not None:
            await self._set_dead(bool(order["die"]))

    def report(self) -> dict[str, Any]:
        """Return all records and the number of refused calls."""
        return {
            "name": self.name,
            "now": self.clock(),
            "records": [asdict(record) for record in self.records],
            "refused": self.refused,
        }

    def _record_call(self, call: Call) -> PlainRecord:
        headers = call.headers
        record = PlainRecord(
            headers.get(BENCH_ID_HEADER) or headers.get("x-request-id", "none"),
            headers.get(WORKSPACE_HEADER, ""),
            headers.get("idempotency-key", ""),
            call.method,
            call.path,
            hashlib.sha256(call.body).hexdigest(),
            self.clock(),
        )
        self.records.append(record)
        return record

    async def _answer(self, call: Call, record: PlainRecord, send: Send) -> None:
        body = plain_answer(record.id, call.body)
        if not self._pending_breaks:
            await respond(send, 200, body)
            return
        after = self._pending_breaks.pop(0)
        record.state = "broken"
        record.end = self.clock()
        length = (("content-length", str(len(body))),)
        await send(start_message(200, length))
        await send(
            {"type": "http.response.body", "body": body[:after], "more_body": True}
        )
        raise AbortConnectionError

    async def _set_dead(self, dead: bool) -> None:
        assert self.listener is not None
        if dead:
            self.listener.drop()
            await self.listener.wait_down()
        elif not self.listener.up:
            self.listener.bind()


def main(
    port: int | str | tuple[int, ...] = 0,
    control_port: int = 0,
    name: str | tuple[str, ...] = "ledger",
    service_s: float = SERVICE_S,
) -> None:
    """Run one plain service per name, each on its own data port.

    Args:
        port: data port, or several separated by commas.
        control_port: port for control and records.
        name: name of each service, in the order of the ports.
        service_s: seconds that a call takes.

    """
    services = [PlainService(each, service_s) for each in as_tuple(name)]
    run_standins(services, [int(each) for each in as_tuple(port)], control_port)


if __name__ == "__main__":
    fire.Fire(main)

"""Stand-in for a model engine, in the OpenAI format.

Answer: token `k` of a request is `token_at(id, k)`. The id is the body's
`metadata.id`, else the header `X-Bench-Id`, else `X-Request-Id`. A stream sends one
`data:` event per token. The last event before `data: [DONE]` has a finish reason and
the complete usage.

Resume: a caller sends the same body to any engine of the pool, with `X-Resume-Id` (the
id of the broken request) and `X-Resume-From: N`. The engine streams the answer from
token `N` on; `usage` counts from the start of the complete answer. The engine needs no
state of the first attempt. An `N` beyond the end is answered with status 400.

Cancel: the caller closes the connection; the engine frees the slot at its next step
and counts the request as cancelled.

On the data port: `POST /v1/chat/completions`, `GET /load` (delayed by `LOAD_LAG_S`),
`GET /cache/events?after=N` (delayed likewise, with some events missing). On the control
port, for each engine: `POST /NAME/control`, `GET /NAME/records`.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import fire
from attrs import asdict, define, field, frozen

from fulmarroad_bench._answers import (
    WORKSPACE_HEADER,
    answer_tokens,
    block_hashes,
    prompt_words,
    request_id_of,
)
from fulmarroad_bench._engine_answer import (
    EngineRecord,
    RunningRequest,
    StreamWriter,
    send_complete_answer,
    send_error,
)
from fulmarroad_bench._engine_model import (
    BatchModel,
    EngineProfile,
    EngineRefusedError,
    Job,
)
from fulmarroad_bench._server import (
    Call,
    CallerDisconnectedError,
    Listener,
    Receive,
    Scope,
    Send,
    read_call,
    respond_json,
    wait_for_disconnect,
)
from fulmarroad_bench._standin_host import (
    as_tuple,
    handle_control_request,
    run_standins,
)

TICK_S = 0.01
"""Seconds between steps of the batch; shorter than the time between two tokens."""
SAMPLE_S = 0.1
"""Seconds between the samples of work and slots that the report lists."""
LOAD_LAG_S = 0.5
"""Seconds by which reported load and cache events lag."""
EVENT_GAP = 7
"""One of this many cache events is left out, as if it had been lost."""

Clock = Callable[[], float]


@frozen
class Sample:
    """Hold an engine's state at one time; `work` and `capacity` never decrease."""

    at: float
    running: int
    slots: int  # 0 while the engine is down, hung, refusing or recovering
    work: float
    capacity: float


@define(eq=False)
class Engine:
    """Serve one engine's data and control paths and drive its batch model."""

    name: str
    profile: EngineProfile = field(factory=EngineProfile)
    clock: Clock = time.monotonic
    model: BatchModel = field(init=False)
    records: list[EngineRecord] = field(factory=list)
    service: list[tuple[float, int, int]] = field(factory=list)  # time, record, tokens
    samples: list[Sample] = field(factory=list)
    refused: int = 0
    refusing: bool = False
    listener: Listener | None = None
    _running: dict[int, RunningRequest] = field(factory=dict)
    _pending_breaks: deque[int] = field(factory=deque)
    _load_history: deque[tuple[float, dict[str, Any]]] = field(factory=deque)
    _event_times: list[float] = field(factory=list)
    _sampled_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.model = BatchModel(self.profile, now=self.clock())

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the data port."""
        try:
            call = await read_call(scope, receive)
        except CallerDisconnectedError:
            return
        if call.path == "/v1/chat/completions" and call.method == "POST":
            await self._handle_completion(call, receive, send)
        elif call.path == "/load":
            await respond_json(send, 200, self.load())
        elif call.path == "/cache/events":
            after = int(call.query.get("after", "0"))
            await respond_json(send, 200, {"events": self.cache_events(after)})
        else:
            await send_error(send, 404, "no such path", "invalid_request_error")

    async def control_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call on the control port."""
        await handle_control_request(self, scope, receive, send)

    async def control(self, order: dict[str, Any]) -> None:
        """Apply a control order of the scenario.

        `slow`: factor by which tokens take longer; `die`, `refuse`, `hang`: true or
        false; `cold`: true; `break_streams`: number of the next answers that break off
        after `after_tokens` tokens.
        """
        self.model.slow = float(order.get("slow", self.model.slow))
        self.model.hung = bool(order.get("hang", self.model.hung))
        self.refusing = bool(order.get("refuse", self.refusing))
        for _ in range(int(order.get("break_streams", 0))):
            self._pending_breaks.append(int(order.get("after_tokens", 3)))
        if order.get("cold"):
            self._break_all(self.model.reset_to_cold())
        if "die" in order:
            await self._set_dead(bool(order["die"]))

    def tick(self, now: float) -> None:
        """Advance the batch to `now` and wake the handlers of calls with new tokens."""
        steps = self.model.advance(now)
        for step in steps:
            running = self._running[step.job.job_id]
            running.record.tokens += step.tokens
            self.service.append((now, running.index, step.tokens))
            running.wake.set()
        for running in list(self._running.values()):
            if running.job.done:
                self.model.remove(running.job)
                running.wake.set()
        if now - self._sampled_at >= SAMPLE_S:
            self._sample(now)

    async def run(self) -> None:
        """Advance the batch until cancelled."""
        while True:
            self.tick(self.clock())
            await anyio.sleep(TICK_S)

    def load(self) -> dict[str, Any]:
        """Return the load as it was `LOAD_LAG_S` ago."""
        seen = self.clock() - LOAD_LAG_S
        shown = {"running": 0, "recovering": False}
        for at, load in self._load_history:
            if at > seen:
                break
            shown = load
        return shown

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return events after a number and `LOAD_LAG_S` old, without the lost ones."""
        seen = self.clock() - LOAD_LAG_S
        pairs = zip(self.model.cache_log, self._event_times, strict=False)
        return [
            asdict(event)
            for event, at in pairs
            if event.number > after and at <= seen and event.number % EVENT_GAP
        ]

    def report(self) -> dict[str, Any]:
        """Return all records, the tokens generated over time and the totals."""
        return {
            "name": self.name,
            "now": self.clock(),
            "records": [asdict(record) for record in self.records],
            "service": self.service,
            "samples": [
                [s.at, s.running, s.slots, s.work, s.capacity] for s in self.samples
            ],
            "max_running": self.model.max_running,
            "overloads": self.model.overloads,
            "refused": self.refused,
            "busy_s": self.model.work,
            "batch": self.profile.batch,
            "tokens_per_s": self.profile.tokens_per_s,
        }

    async def _handle_completion(
        self, call: Call, receive: Receive, send: Send
    ) -> None:
        body = call.json()
        if not isinstance(body, dict) or not body.get("messages"):
            await send_error(send, 400, "messages are missing", "invalid_request_error")
            return
        request_id = request_id_of(body, call.headers)
        tokens = answer_tokens(request_id, body)
        start = int(call.headers.get("x-resume-from", "0"))
        if not 0 <= start <= tokens:
            await send_error(
                send, 400, "resume is past the end", "invalid_request_error"
            )
            return
        running = self._admit(request_id, body, call, tokens, start)
        if running is None:
            self.refused += 1
            await send_error(send, 503, "the engine takes nothing now", "server_error")
            return
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_on_disconnect, running, receive, group.cancel_scope
                )
                await self._answer(running, body, request_id, send)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            self._finish(running)

    def _admit(
        self, request_id: str, body: dict[str, Any], call: Call, tokens: int, start: int
    ) -> RunningRequest | None:
        workspace = (body.get("metadata") or {}).get("workspace", "")
        workspace = workspace or call.headers.get(WORKSPACE_HEADER, "")
        words = prompt_words(body)
        now = self.clock()
        record = EngineRecord(request_id, workspace, now, len(words), start)
        self.records.append(record)
        try:
            if self.refusing:
                raise EngineRefusedError(
                    "a control order makes the engine refuse requests"
                )
            job = self.model.admit(tokens, len(words), block_hashes(words), start)
        except EngineRefusedError:
            record.state = "refused"
            record.end = now
            return None
        self._note_cache_events(now)
        running = RunningRequest(job, record, len(self.records) - 1)
        self._running[job.job_id] = running
        if self._pending_breaks:
            running.break_at = start + self._pending_breaks.popleft()
        if self.model.overloaded_cold():
            self._break_all(self.model.crash())
        return running

    async def _cancel_on_disconnect(
        self, running: RunningRequest, receive: Receive, scope: anyio.CancelScope
    ) -> None:
        await wait_for_disconnect(receive)
        if running.record.state == "running" and not running.broken:
            running.record.state = "cancelled"
        scope.cancel()

    async def _answer(
        self, running: RunningRequest, body: dict[str, Any], request_id: str, send: Send
    ) -> None:
        if body.get("stream"):
            await StreamWriter(running, body, request_id, send).send_all()
        else:
            await send_complete_answer(running, body, request_id, send)
        if not running.broken:
            running.record.state = "completed"

    def _finish(self, running: RunningRequest) -> None:
        self._running.pop(running.job.job_id, None)
        self.model.remove(running.job)
        running.record.end = self.clock()
        if running.record.state == "running":
            running.record.state = "broken" if running.broken else "cancelled"

    def _break_all(self, dropped_jobs: list[Job]) -> None:
        for job in dropped_jobs:
            running = self._running.get(job.job_id)
            if running is not None:
                running.broken = True
                running.wake.set()

    async def _set_dead(self, dead: bool) -> None:
        self.model.down = dead
        if dead:
            self._break_all(self.model.reset_to_cold())
        if self.listener is None:
            return
        if dead:
            self.listener.drop()
            await self.listener.wait_down()
        elif not self.listener.up:
            self.listener.bind()

    def _note_cache_events(self, now: float) -> None:
        new_events = len(self.model.cache_log) - len(self._event_times)
        self._event_times.extend([now] * new_events)

    def _sample(self, now: float) -> None:
        self._sampled_at = now
        model = self.model
        up = self.listener is None or self.listener.up
        serving = up and not model.recovering and not model.hung and not self.refusing
        slots = model.slots if serving else 0
        self.samples.append(
            Sample(now, model.running, slots, model.work, model.capacity)
        )
        self._load_history.append(
            (now, {"running": model.running, "recovering": model.recovering})
        )
        while self._load_history and self._load_history[0][0] < now - 2 * LOAD_LAG_S:
            self._load_history.popleft()


def main(
    port: int | str | tuple[int, ...] = 0,
    control_port: int = 0,
    name: str | tuple[str, ...] = "engine",
    **profile: float,
) -> None:
    """Run one engine per name, each on its own data port.

    Args:
        port: data port, or several separated by commas.
        control_port: port for control and records.
        name: name of each engine, in the order of the ports.
        profile: any field of `EngineProfile`; applies to all engines.

    """
    known = EngineProfile(**profile)  # type: ignore[arg-type]
    engines = [Engine(each, known) for each in as_tuple(name)]
    run_standins(engines, [int(each) for each in as_tuple(port)], control_port)


if __name__ == "__main__":
    fire.Fire(main)

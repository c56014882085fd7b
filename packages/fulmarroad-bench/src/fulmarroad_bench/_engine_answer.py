"""Encode and send the stand-in engine's answers in the OpenAI format."""

from __future__ import annotations

import json
import time
from typing import Any

import anyio
from attrs import define, field

from fulmarroad_bench._answers import expected_answer, token_at
from fulmarroad_bench._engine_model import Job
from fulmarroad_bench._server import (
    AbortConnectionError,
    Send,
    respond,
    respond_json,
    start_message,
)


@define(eq=False)
class EngineRecord:
    """Record how one request went; times are monotonic seconds."""

    id: str
    workspace: str
    start: float
    prompt_tokens: int
    position: int
    tokens: int = 0
    end: float = 0.0
    state: str = "running"  # completed, cancelled, broken, refused


@define(eq=False)
class RunningRequest:
    """Hold a running request's job and record, and the event its handler waits for."""

    job: Job
    record: EngineRecord
    index: int
    wake: anyio.Event = field(factory=anyio.Event)
    broken: bool = False
    break_at: int | None = None


class StreamWriter:
    """Send one answer as server-sent events."""

    def __init__(
        self, running: RunningRequest, body: dict[str, Any], request_id: str, send: Send
    ) -> None:
        self._running = running
        self._body = body
        self._request_id = request_id
        self._send = send
        model = json.dumps(body.get("model", "draft"))
        self._chunk_prefix = (
            f'data: {{"id":"chatcmpl-{request_id}","object":"chat.completion.chunk",'
            f'"created":{int(time.time())},"model":{model},"choices":['
        )

    async def send_all(self) -> None:
        """Send each token once it is generated, then the final events."""
        running = self._running
        headers = (("content-type", "text/event-stream"), ("cache-control", "no-store"))
        await running.wake.wait()
        if running.broken:
            await send_error(self._send, 500, "the engine fell over", "server_error")
            return
        await self._send(start_message(200, headers))
        sent = running.job.position - running.record.tokens
        while True:
            running.wake = anyio.Event()
            ready = running.job.position
            await self._send_tokens(sent, ready)
            sent = ready
            if running.job.done:
                break
            await running.wake.wait()
            if running.broken:
                raise AbortConnectionError
        await self._send_end()

    async def _send_tokens(self, sent: int, ready: int) -> None:
        stop = self._running.break_at
        send_until = ready if stop is None else min(ready, stop)
        data = "".join(self._event(position) for position in range(sent, send_until))
        if data:
            await self._body_message(data, more=True)
        if stop is not None and send_until >= stop:
            self._running.broken = True
            raise AbortConnectionError

    async def _send_end(self) -> None:
        reason = '{"index":0,"delta":{},"finish_reason":"stop"}'
        usage = json.dumps(usage_of(self._running))
        data = f'{self._chunk_prefix}{reason}],"usage":{usage}}}\n\n'
        options = self._body.get("stream_options") or {}
        if options.get("include_usage"):
            data += f'{self._chunk_prefix}],"usage":{usage}}}\n\n'
        await self._body_message(data + "data: [DONE]\n\n", more=False)

    def _event(self, position: int) -> str:
        text = token_at(self._request_id, position)
        return (
            f'{self._chunk_prefix}{{"index":0,"delta":{{"content":"{text}"}},'
            '"finish_reason":null}]}\n\n'
        )

    async def _body_message(self, data: str, *, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data.encode(), "more_body": more}
        )


async def send_complete_answer(
    running: RunningRequest, body: dict[str, Any], request_id: str, send: Send
) -> None:
    """Send a whole answer after its last token has been generated."""
    while not running.job.done and not running.broken:
        await running.wake.wait()
        running.wake = anyio.Event()
    if running.broken:
        await send_error(send, 500, "the engine fell over", "server_error")
        return
    start = running.record.position
    message = {
        "role": "assistant",
        "content": expected_answer(request_id, running.job.tokens, start),
    }
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    answer = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": body.get("model", "draft"),
        "choices": [choice],
        "usage": usage_of(running),
    }
    await respond_json(send, 200, answer)


def usage_of(running: RunningRequest) -> dict[str, Any]:
    """Return the usage of the complete answer, including tokens before a resume."""
    prompt = running.record.prompt_tokens
    done = running.job.position
    return {
        "prompt_tokens": prompt,
        "completion_tokens": done,
        "total_tokens": prompt + done,
        "prompt_tokens_details": {"cached_tokens": running.job.cached_tokens},
    }


async def send_error(send: Send, status: int, message: str, kind: str) -> None:
    """Send an error in the OpenAI format; `kind` is its `type`."""
    error = {"message": message, "type": kind, "param": None, "code": None}
    headers = (("retry-after", "1"),) if status == 503 else ()
    await respond(send, status, json.dumps({"error": error}).encode(), headers)

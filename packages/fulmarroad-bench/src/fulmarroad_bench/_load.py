"""Define the callers' requests and classify the answers."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field, frozen

from fulmarroad_bench._answers import expected_answer, plain_answer
from fulmarroad_bench._client import Answer, Request, call_any

CHAT_PATH = "/v1/chat/completions"
RAN_HEADER = "fulmarroad-ran"


@frozen
class CallPlan:
    """Describe one call; `tokens` is the true cost, `hint` the caller's estimate."""

    id: str
    workspace: str
    key: str  # the bearer key
    kind: str = "chat"  # chat or ledger
    stream: bool = True
    tokens: int = 32
    hint: int = 64
    prompt: str = "Write a short reminder."
    idempotency_key: str = ""
    first_attempt: bool = False
    disconnect_after_chunks: int | None = None
    timeout_s: float = 60.0

    def request(self) -> Request:
        """Return the HTTP request."""
        headers = [
            ("authorization", f"Bearer {self.key}"),
            ("content-type", "application/json"),
            ("x-request-id", self.id),
            ("x-bench-id", self.id),
        ]
        if self.idempotency_key:
            headers.append(("idempotency-key", f'"{self.idempotency_key}"'))
        if self.first_attempt:
            headers.append(("fulmarroad-first-attempt", "?1"))
        path = CHAT_PATH if self.kind == "chat" else "/ledger/reminders"
        return Request("POST", path, tuple(headers), self.body())

    def body(self) -> bytes:
        """Return the request's body."""
        if self.kind != "chat":
            return json.dumps({"reminder": self.id, "to": self.workspace}).encode()
        metadata = {
            "id": self.id,
            "workspace": self.workspace,
            "tokens": str(self.tokens),
        }
        message = {"role": "user", "content": self.prompt}
        return json.dumps(
            {
                "model": "draft",
                "messages": [message],
                "max_tokens": max(self.hint, self.tokens),
                "stream": self.stream,
                "metadata": metadata,
            }
        ).encode()

    def expected(self) -> str:
        """Return the text that the answer must contain."""
        if self.kind != "chat":
            return plain_answer(self.id, self.body()).decode()
        return expected_answer(self.id, self.tokens)


@frozen
class CallResult:
    """Record how one call went for its caller; times are monotonic seconds.

    Outcomes: `completed`; `wrong` (ended normally with another text); `cut_off` (broke
    off with an error or a closed connection, or had no answer); `refused` (the error's
    header says that the call did not run); `unknown` (it says that this is unknown);
    `failed` (it says that the call ran, or the header is missing); `left` (the caller
    disconnected as planned); `unreachable` (no router accepted the connection).
    """

    id: str
    workspace: str
    kind: str
    outcome: str
    sent_at: float
    first_at: float
    end_at: float
    status: int = 0
    code: str = ""
    tokens: int = 0
    idempotency_key: str = ""


def classify_call(plan: CallPlan, answer: Answer) -> CallResult:
    """Return the result of a call with its outcome."""
    return CallResult(
        plan.id,
        plan.workspace,
        plan.kind,
        _outcome(plan, answer),
        answer.sent_at,
        answer.first_at,
        answer.end_at,
        answer.status,
        _error_code(answer) if answer.status != 200 else "",
        plan.tokens if plan.kind == "chat" else 1,
        plan.idempotency_key,
    )


def _outcome(plan: CallPlan, answer: Answer) -> str:
    if not answer.connected:
        return "unreachable"
    if answer.status == 200:
        return _outcome_of_answer(plan, answer)
    if plan.disconnect_after_chunks is not None:
        return "left"
    if not answer.status or not answer.complete:
        return "cut_off"
    ran = answer.headers.get(RAN_HEADER, "")
    return {"not_run": "refused", "unknown": "unknown"}.get(ran, "failed")


def _outcome_of_answer(plan: CallPlan, answer: Answer) -> str:
    text, ended = answer_text(plan, answer)
    if answer.complete and ended:
        return "completed" if text == plan.expected() else "wrong"
    if plan.disconnect_after_chunks is not None:
        return "left" if plan.expected().startswith(text) else "wrong"
    if answer.complete and b'"error"' not in answer.body[-2000:]:
        return "wrong"
    return "cut_off"


def answer_text(plan: CallPlan, answer: Answer) -> tuple[str, bool]:
    """Return the text of an answer and whether it ended normally."""
    if plan.kind != "chat":
        return answer.body.decode(errors="replace"), answer.complete
    if not plan.stream:
        return _complete_answer_text(bytes(answer.body)), answer.complete
    return stream_text(bytes(answer.body))


def stream_text(raw: bytes) -> tuple[str, bool]:
    """Return the text of a stream and whether it ended with `[DONE]`."""
    text: list[str] = []
    for event in raw.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            return "".join(text), True
        text.append(_delta_text(data))
    return "".join(text), False


def _delta_text(data: bytes) -> str:
    try:
        choices = json.loads(data).get("choices") or []
    except (ValueError, AttributeError):
        return ""
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def _complete_answer_text(raw: bytes) -> str:
    try:
        return json.loads(raw)["choices"][0]["message"]["content"]
    except (ValueError, KeyError, IndexError, TypeError):
        return ""


def _error_code(answer: Answer) -> str:
    try:
        error = json.loads(answer.body)["error"]
        return str(error.get("code") or error.get("type") or "")
    except (ValueError, KeyError, TypeError, AttributeError):
        return ""


Chooser = Callable[[], Sequence[str]]


@define(eq=False)
class Callers:
    """Send calls and collect their results."""

    results: list[CallResult] = field(factory=list)
    running: int = 0

    async def send(self, plan: CallPlan, addresses: Sequence[str]) -> CallResult:
        """Send one call to the first router that accepts the connection."""
        self.running += 1
        try:
            answer = await call_any(
                addresses,
                plan.request(),
                timeout_s=plan.timeout_s,
                disconnect_after_chunks=plan.disconnect_after_chunks,
            )
        finally:
            self.running -= 1
        result = classify_call(plan, answer)
        self.results.append(result)
        return result


@define(eq=False)
class Balancer:
    """Spread calls over routers as the platform's load balancer does.

    `spread` limits the routers that a workspace's calls come to first, so that the load
    on routers is uneven. Routers in `unready` get no calls.
    """

    addresses: dict[str, str]  # by router name
    rng: random.Random
    spread: dict[str, int] = field(factory=dict)
    unready: set[str] = field(factory=set)

    def ranked_addresses(self, workspace: str) -> list[str]:
        """Return the addresses to try, in order of preference."""
        ready = [name for name in self.addresses if name not in self.unready]
        self.rng.shuffle(ready)
        limit = self.spread.get(workspace, 0)
        if limit:
            ready.sort(key=lambda name: _spread_rank(workspace, name))
            preferred = ready[:limit]
            self.rng.shuffle(preferred)
            ready = preferred + ready[limit:]
        return [self.addresses[name] for name in ready]


def _spread_rank(workspace: str, name: str) -> int:
    return random.Random(f"{workspace}/{name}").randrange(1 << 30)


def summary_counts(results: Sequence[CallResult]) -> dict[str, int]:
    """Return the number of calls by outcome."""
    counts: dict[str, Any] = {}
    for result in results:
        counts[result.outcome] = counts.get(result.outcome, 0) + 1
    return counts

"""One caller's request, read and checked, and what is sent on for it."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable, Collection
from typing import Any

import xxhash
from attrs import define, field, frozen

from fulmarroad.tables import CostUnit, Pool, Route, Workspace
from fulmarroad_router.asgi import HOP_BY_HOP
from fulmarroad_router.backend import BackendRequest, Headers
from fulmarroad_router.exceptions import BadRequest

BYTES_PER_TOKEN = 4
"""A rough guess until the engine's own count comes with the answer's end."""

DEFAULT_ANSWER_TOKENS = 256
PREFIX_BLOCK_BYTES = 256
"""Bytes of a prompt's first block; each further hash covers twice as many."""

MAX_PREFIX_BLOCKS = 8
"""Eight doublings reach 32 KB of prompt in forty bytes of a demand."""
MAX_ID_LENGTH = 128

_NOT_SENT_ON = HOP_BY_HOP | {
    b"host",
    b"authorization",
    b"content-length",
    b"expect",
    b"x-request-id",
    b"x-resume-id",
    b"x-resume-from",
    b"fulmarroad-workspace",
    b"fulmarroad-first-attempt",
}
_NOT_SENT_BACK = HOP_BY_HOP | {b"x-request-id", b"fulmarroad-ran", b"date", b"server"}


@frozen
class ChatBody:
    """Hold what the router reads of a chat completion's body."""

    model: str = ""
    stream: bool = False
    max_tokens: int = DEFAULT_ANSWER_TOKENS
    prompt: bytes = b""


@define
class Call:
    """Hold one accepted request while it waits and runs."""

    request_id: str
    workspace: Workspace
    route: Route
    pool: Pool
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    chat: ChatBody = field(factory=ChatBody)
    idempotency_key: str = ""
    first_attempt: bool = False
    may_send: Callable[[float], bool] | None = None
    sent: bool = False

    @property
    def deadline(self) -> float:
        """Return the time on this router's clock by which the call must end."""
        return self.arrived + self.route.timeout_s

    @property
    def continues_after_disconnect(self) -> bool:
        """Tell whether the call goes on once it is sent though its caller left.

        A call that may not be repeated is better ended than cut off: its outcome can
        then be told to the caller's next attempt.
        """
        return bool(self.idempotency_key) and not self.route.repeatable

    @property
    def prompt_tokens(self) -> float:
        """Return a rough count of the prompt's tokens."""
        return len(self.body) / BYTES_PER_TOKEN

    @property
    def cost_hint(self) -> float:
        """Return a rough guess of the whole cost in the pool's service units."""
        if self.pool.cost is not CostUnit.TOKENS:
            return 1.0
        return self.prompt_tokens * self.pool.prompt_cost + self.chat.max_tokens

    def backend_request(
        self, address: str, resume_from: int | None = None
    ) -> BackendRequest:
        """Return what is sent to the backend server."""
        headers = strip_headers(self.headers, _NOT_SENT_ON)
        headers.append((b"host", address.encode()))
        headers.append((b"x-request-id", self.request_id.encode()))
        headers.append((b"fulmarroad-workspace", self.workspace.name.encode()))
        headers.append((b"content-length", str(len(self.body)).encode()))
        if resume_from is not None:
            headers.append((b"x-resume-id", self.request_id.encode()))
            headers.append((b"x-resume-from", str(resume_from).encode()))
        return BackendRequest(self.method.encode(), self.target, headers, self.body)


def strip_headers(headers: Headers, dropped: Collection[bytes]) -> Headers:
    """Return headers without those that concern one hop only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in named
    ]


def response_headers(headers: Headers) -> Headers:
    """Return a backend server's headers as they go to the caller."""
    return strip_headers(headers, _NOT_SENT_BACK)


def header(headers: Headers, name: bytes) -> str:
    """Return a header's first value as text, or nothing."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip()
    return ""


def request_id_of(headers: Headers) -> str:
    """Return the caller's request id if it is usable, else a new one."""
    given = header(headers, b"x-request-id")
    if (
        given
        and len(given) <= MAX_ID_LENGTH
        and given.isascii()
        and given.isprintable()
    ):
        return given
    return str(uuid.uuid4())


def bearer_token(headers: Headers) -> str:
    """Return the key that the caller shows, or nothing."""
    scheme, _, key = header(headers, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def parse_chat_body(body: bytes) -> ChatBody:
    """Read a chat completion's body; raise `BadRequest` if it is none."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest("The body is not valid JSON.") from error
    if not isinstance(document, dict):
        raise BadRequest("The body must be a JSON object.")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequest("The body needs `messages`, a list that is not empty.")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequest("The body needs `model`, a name.")
    stream = document.get("stream", False)
    if not isinstance(stream, bool | None):
        raise BadRequest("`stream` must be true or false.")
    prompt = json.dumps(messages, ensure_ascii=False).encode("utf-8", "replace")
    return ChatBody(model, bool(stream), _max_tokens(document), prompt)


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return hashes of the prompt's leading blocks, from short to long."""
    hashes: list[int] = []
    length = PREFIX_BLOCK_BYTES
    while length <= len(prompt) and len(hashes) < MAX_PREFIX_BLOCKS:
        hashes.append(xxhash.xxh32_intdigest(prompt[:length]))
        length *= 2
    return tuple(hashes)


def cached_blocks(tokens: int) -> int:
    """Return how many of a prompt's hashed blocks an engine's cached tokens cover."""
    covered = tokens * BYTES_PER_TOKEN
    if covered < PREFIX_BLOCK_BYTES:
        return 0
    blocks = (covered // PREFIX_BLOCK_BYTES).bit_length()
    return min(blocks, MAX_PREFIX_BLOCKS)


def _max_tokens(document: dict[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if value is None:
            continue
        if type(value) is not int or value < 1:
            raise BadRequest(f"`{name}` must be a whole number above 0.")
        return value
    return DEFAULT_ANSWER_TOKENS

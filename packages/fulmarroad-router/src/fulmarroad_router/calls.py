"""A caller's validated request, and the request that is forwarded for it."""

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
"""Estimate, used until the engine reports its token count at the end of the answer."""

DEFAULT_ANSWER_TOKENS = 256
PREFIX_BLOCK_BYTES = 256
"""Length of the shortest hashed prefix; each further prefix is twice as long."""

MAX_PREFIX_BLOCKS = 8
"""Eight hashes cover up to 32 KB of prompt and add forty bytes to a demand."""
MAX_ID_LENGTH = 128

_DROPPED_REQUEST_HEADERS = HOP_BY_HOP | {
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
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {
    b"x-request-id",
    b"fulmarroad-ran",
    b"date",
    b"server",
}


@frozen
class ChatBody:
    """Hold the fields of a chat completion's body that the router uses."""

    model: str = ""
    stream: bool = False
    max_tokens: int = DEFAULT_ANSWER_TOKENS
    prompt: bytes = b""


@define
class Call:
    """Hold one accepted request while it waits and runs.

    `arrived` is a time of this router's clock. `may_send` returns whether the call may
    still be sent at a given time. `sent` is set once a backend server may have received
    the call.
    """

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
        """Return the time of this router's clock by which the call must end."""
        return self.arrived + self.route.timeout_s

    @property
    def continues_after_disconnect(self) -> bool:
        """Return whether a sent call continues after its caller disconnects.

        A call that must not be repeated runs to its end, so that the caller's next
        attempt with the same key gets its outcome.
        """
        return bool(self.idempotency_key) and not self.route.repeatable

    @property
    def prompt_tokens(self) -> float:
        """Return an estimate of the prompt's tokens, from the body's length."""
        return len(self.body) / BYTES_PER_TOKEN

    @property
    def cost_hint(self) -> float:
        """Return an estimate of the call's total cost in the pool's service units."""
        if self.pool.cost is not CostUnit.TOKENS:
            return 1.0
        return self.prompt_tokens * self.pool.prompt_cost + self.chat.max_tokens

    def backend_request(
        self, address: str, resume_from: int | None = None
    ) -> BackendRequest:
        """Return the request for a backend server.

        `resume_from` is the number of tokens already received, for a resumed answer.
        """
        headers = strip_headers(self.headers, _DROPPED_REQUEST_HEADERS)
        headers.append((b"host", address.encode()))
        headers.append((b"x-request-id", self.request_id.encode()))
        headers.append((b"fulmarroad-workspace", self.workspace.name.encode()))
        headers.append((b"content-length", str(len(self.body)).encode()))
        if resume_from is not None:
            headers.append((b"x-resume-id", self.request_id.encode()))
            headers.append((b"x-resume-from", str(resume_from).encode()))
        return BackendRequest(self.method.encode(), self.target, headers, self.body)


def strip_headers(headers: Headers, dropped: Collection[bytes]) -> Headers:
    """Return headers without `dropped` and those that `Connection` names."""
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in connection_headers
    ]


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a backend server's answer that are sent to the caller."""
    return strip_headers(headers, _DROPPED_RESPONSE_HEADERS)


def header(headers: Headers, name: bytes) -> str:
    """Return the first value of a header as text, or an empty string."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip()
    return ""


def request_id_of(headers: Headers) -> str:
    """Return the caller's request id if it is valid, else a new one."""
    request_id = header(headers, b"x-request-id")
    if (
        request_id
        and len(request_id) <= MAX_ID_LENGTH
        and request_id.isascii()
        and request_id.isprintable()
    ):
        return request_id
    return str(uuid.uuid4())


def bearer_token(headers: Headers) -> str:
    """Return the caller's bearer token, or an empty string."""
    scheme, _, key = header(headers, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def parse_chat_body(body: bytes) -> ChatBody:
    """Parse a chat completion's body; raise `BadRequest` if it is invalid."""
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
    """Return hashes of the prompt's prefixes, shortest first."""
    hashes: list[int] = []
    length = PREFIX_BLOCK_BYTES
    while length <= len(prompt) and len(hashes) < MAX_PREFIX_BLOCKS:
        hashes.append(xxhash.xxh32_intdigest(prompt[:length]))
        length *= 2
    return tuple(hashes)


def cached_blocks(tokens: int) -> int:
    """Return how many of a prompt's hashed prefixes `tokens` cached tokens cover."""
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

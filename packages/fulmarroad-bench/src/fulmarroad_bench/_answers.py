"""Define the stand-ins' answers, so that a caller can compute what to expect."""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Mapping
from typing import Any

MIN_DEFAULT_TOKENS = 16
DEFAULT_TOKENS_SPREAD = 48
BENCH_ID_HEADER = "x-bench-id"
WORKSPACE_HEADER = "fulmarroad-workspace"
BLOCK_WORDS = 16
"""Prompt words per block of the prefix cache, as in common engines."""


def token_at(request_id: str, position: int) -> str:
    """Return the token at one position of an answer."""
    return f"{zlib.crc32(f'{request_id}:{position}'.encode()) & 0xFFFF:04x} "


def expected_answer(request_id: str, tokens: int, start: int = 0) -> str:
    """Return the text of an answer from position `start` up to `tokens`."""
    return "".join(token_at(request_id, position) for position in range(start, tokens))


def default_tokens(request_id: str) -> int:
    """Return the length in tokens of an answer whose request states none."""
    spread = zlib.crc32(request_id.encode()) % DEFAULT_TOKENS_SPREAD
    return MIN_DEFAULT_TOKENS + spread


def answer_tokens(request_id: str, body: Mapping[str, Any]) -> int:
    """Return the true length of the answer to a request body, in tokens.

    `metadata.tokens` is the true cost, which routers must not read. `max_tokens`, a
    caller's rough estimate, limits it; without `metadata.tokens` it is the length.
    """
    metadata = body.get("metadata") or {}
    limit = body.get("max_tokens") or body.get("max_completion_tokens")
    if "tokens" in metadata:
        tokens = int(metadata["tokens"])
        return min(tokens, int(limit)) if limit else tokens
    return int(limit) if limit else default_tokens(request_id)


def request_id_of(body: Mapping[str, Any], headers: Mapping[str, str]) -> str:
    """Return the id that a request's answer is derived from.

    The body's `metadata.id` comes first because a router may replace `X-Request-Id`.
    """
    metadata = body.get("metadata") or {}
    return (
        metadata.get("id")
        or headers.get(BENCH_ID_HEADER)
        or headers.get("x-resume-id")
        or headers.get("x-request-id")
        or "none"
    )


def prompt_words(body: Mapping[str, Any]) -> list[str]:
    """Return the words of a chat request's prompt; each word counts as a token."""
    words: list[str] = []
    for message in body.get("messages") or []:
        content = message.get("content")
        words.append(str(message.get("role", "user")))
        words.extend(content.split() if isinstance(content, str) else [])
    return words


def block_hashes(words: list[str]) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's complete blocks, from its start on."""
    hashes: list[int] = []
    value = 0
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        text = " ".join(words[start : start + BLOCK_WORDS])
        value = zlib.crc32(text.encode(), value)
        hashes.append(value)
    return tuple(hashes)


def plain_answer(request_id: str, body: bytes) -> bytes:
    """Return the body with which the plain stand-in answers a call."""
    digest = hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()
    return json.dumps({"id": request_id, "posted": digest}).encode()

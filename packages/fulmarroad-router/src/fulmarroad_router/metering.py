"""Measure one try of a call: what it cost and how fast its answer came."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define


@define
class Meter:
    """Measure one try: what it cost and how fast its answer came."""

    clock: Callable[[], float]
    resumed_from: int = 0
    sent: float = 0.0
    first: float | None = None
    last: float = 0.0
    chunks: int = 0
    tokens: int = 0
    prompt_tokens: float = 0.0
    cached_tokens: int = 0
    counted: bool = False
    non_streaming: bool = False

    def record_chunk(self, tokens: int) -> None:
        """Note a part of the answer."""
        now = self.clock()
        if self.first is None:
            self.first = now
        self.last = now
        self.chunks += 1
        if not self.counted:
            self.tokens += tokens

    def record_usage(self, usage: dict[str, object]) -> None:
        """Take the engine's own count over the estimate."""
        prompt = usage.get("prompt_tokens")
        answer = usage.get("completion_tokens")
        if type(prompt) is int and prompt >= 0:
            self.prompt_tokens = prompt
        if type(answer) is int and answer >= 0:
            # A resumed answer's usage counts from its beginning; the tokens before
            # are another try's, and charging them twice would be unfair.
            self.tokens = max(0, answer - self.resumed_from)
            self.counted = True
        details = usage.get("prompt_tokens_details")
        if isinstance(details, dict) and type(details.get("cached_tokens")) is int:
            self.cached_tokens = details["cached_tokens"]

    @property
    def first_s(self) -> float | None:
        """Return the time to the first byte of the answer's body.

        An answer of a model that comes in one piece has none: its first byte is
        also its last, and would make every server look slow that writes long
        answers.
        """
        if self.first is None or self.non_streaming:
            return None
        return self.first - self.sent

    @property
    def gap_s(self) -> float | None:
        """Return the mean time between chunks, or for a token of a whole answer."""
        if self.first is None:
            return None
        if self.non_streaming:
            return (self.last - self.sent) / self.tokens if self.tokens else None
        if self.chunks < 2:
            return None
        return (self.last - self.first) / (self.chunks - 1)

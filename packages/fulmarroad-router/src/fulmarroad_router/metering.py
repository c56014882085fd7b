"""Measurement of one try of a call: token counts and latency."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define


@define
class Meter:
    """Measure the token counts and the latency of one try.

    `resumed_from` is the number of tokens that earlier tries delivered.
    `usage_reported` is set once the engine has reported its own token count.
    """

    clock: Callable[[], float]
    resumed_from: int = 0
    sent: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    chunks: int = 0
    tokens: int = 0
    prompt_tokens: float = 0.0
    cached_tokens: int = 0
    usage_reported: bool = False
    non_streaming: bool = False

    def record_chunk(self, tokens: int) -> None:
        """Record the arrival of a chunk with the given number of tokens."""
        now = self.clock()
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.chunks += 1
        if not self.usage_reported:
            self.tokens += tokens

    def record_usage(self, usage: dict[str, object]) -> None:
        """Replace the estimated token counts by those that the engine reports."""
        prompt = usage.get("prompt_tokens")
        answer = usage.get("completion_tokens")
        if type(prompt) is int and prompt >= 0:
            self.prompt_tokens = prompt
        if type(answer) is int and answer >= 0:
            # The usage of a resumed answer includes the tokens of earlier tries, which
            # must not be charged twice.
            self.tokens = max(0, answer - self.resumed_from)
            self.usage_reported = True
        details = usage.get("prompt_tokens_details")
        if isinstance(details, dict) and type(details.get("cached_tokens")) is int:
            self.cached_tokens = details["cached_tokens"]

    @property
    def first_s(self) -> float | None:
        """Return the time to the first byte of the answer's body.

        It is `None` for a model's answer that is not streamed. Its first byte arrives
        only after the last token, so servers with long answers would be rated slow.
        """
        if self.first_at is None or self.non_streaming:
            return None
        return self.first_at - self.sent

    @property
    def gap_s(self) -> float | None:
        """Return the mean time between chunks, or per token if not streamed."""
        if self.first_at is None:
            return None
        if self.non_streaming:
            return (self.last_at - self.sent) / self.tokens if self.tokens else None
        if self.chunks < 2:
            return None
        return (self.last_at - self.first_at) / (self.chunks - 1)

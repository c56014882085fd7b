"""Estimate when the slots of an engine become free.

Load pattern: answers take all slots of some engines while prompts still come. A new
call waits there until an answer ends, which is a matter of milliseconds at an engine
with answers near their end and of seconds at another one. If every full engine seems
equally bad, calls wait behind long answers and others are refused although a slot is
about to become free.
"""

from __future__ import annotations

import heapq

from attrs import define, field

from fulmarroad_serving.engines._answer_lengths import ExpectedLength


@define
class _Answer:
    begins_at: float  # first token, as expected or as seen
    length: ExpectedLength

    def left_s(self, token_s: float, now: float) -> float | None:
        """Return the time until the answer's end, or None if it is overdue.

        An answer that goes on beyond its usual length is taken for a long one, then for
        one of the maximum length.
        """
        for tokens in (self.length.usual, self.length.long, self.length.most):
            left_s = self.begins_at + tokens * token_s - now
            if 0 < left_s < float("inf"):
                return left_s
        return None


@define
class SlotTimes:
    """Hold the expected ends of the answers that take an engine's slots.

    `unknown_s` is the time assumed until an answer ends of which nothing is known, or
    which goes on beyond every expectation.
    """

    _unknown_s: float
    _answers: dict[int, _Answer] = field(factory=dict)

    def add(self, number: int, length: ExpectedLength, begins_at: float) -> None:
        """Record a call that was sent and takes a slot."""
        self._answers[number] = _Answer(begins_at, length)

    def begin(self, number: int, now: float) -> None:
        """Record the first token of an answer."""
        answer = self._answers.get(number)
        if answer is not None:
            answer.begins_at = now

    def end(self, number: int) -> None:
        """Record the end of a call."""
        self._answers.pop(number, None)

    def wait_s(self, ends: int, running: int, token_s: float, now: float) -> float:
        """Return the time until a number of answers has ended.

        `running` counts all answers at the engine. Those of which nothing is known are
        assumed to end at the same rate as the others.
        """
        known = len(self._answers)
        if not known or token_s <= 0 or ends > running:
            return self._unknown_s
        position = max(1, round(ends * min(1.0, known / running)))
        found = (answer.left_s(token_s, now) for answer in self._answers.values())
        left = (self._unknown_s if left_s is None else left_s for left_s in found)
        return heapq.nsmallest(min(position, known), left)[-1]

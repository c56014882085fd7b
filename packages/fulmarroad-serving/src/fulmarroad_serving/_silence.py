"""Track which servers send nothing although calls wait for them.

Load pattern: a sound server stops for a second, in a long step or with its process
paused, loses nothing and goes on. All of its answers pause at once. A server that has
ended without closing its connections looks the same; one whose other answers go on has
lost a single answer or connection. What is known here tells the last case apart.
"""

from __future__ import annotations

from attrs import define, field

SILENT_S = 0.5
"""Time without a byte after which a server counts as silent if one is due. The gaps of
a stream and a lost packet are shorter."""

PAUSE_FACTOR = 2.5
"""Multiple of a stream's pause objective below which a gap is no silence."""


@define
class ServerVoice:
    """Record when a server sent anything to this router, over any connection."""

    heard_at: float = float("-inf")
    resumed_at: float = float("-inf")  # first byte after the last gap of a silence
    _silent_s: float = SILENT_S
    _due: dict[int, float] = field(factory=dict)  # by call: when a byte is due

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for bytes of the server."""
        return len(self._due)

    def expect(self, call: int, due_at: float, pause_objective_s: float) -> None:
        """Record a call from which bytes are due from a time on."""
        self._silent_s = max(self._silent_s, PAUSE_FACTOR * pause_objective_s)
        self._due[call] = due_at

    def settle(self, call: int) -> None:
        """Record the end of a call."""
        self._due.pop(call, None)

    def note_heard(self, now: float) -> None:
        """Record that a byte came."""
        if now - self.heard_at > self._silent_s:
            self.resumed_at = now
        self.heard_at = now

    def silent_s(self, now: float) -> float:
        """Return for how many seconds the server has owed bytes; 0 if it owes none."""
        if not self._due:
            return 0.0
        return max(0.0, now - max(self.heard_at, min(self._due.values())))

    def is_silent(self, now: float) -> bool:
        """Return whether the server sends nothing to any call that waits for it."""
        if now - self.heard_at <= self._silent_s:
            return False
        return self.silent_s(now) > self._silent_s

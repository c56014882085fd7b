"""Judge how long a call waits for a server that sends nothing.

Load pattern: a sound server stops for a second, in a long step or with its process
paused, loses nothing and goes on. All of its answers pause at once. A server that has
ended without closing its connections looks the same, so a silent server is waited for
as long as a sound one may pause. One whose other answers go on has lost a single answer
or connection, and the call may leave it sooner.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

SILENT_S = 0.5
"""Time without a byte after which a server counts as silent if one is due. The gaps of
a stream and a lost packet are shorter."""

PAUSE_FACTOR = 2.5
"""Multiple of a stream's pause objective below which a gap is no silence."""

MAX_PAUSE_S = 2.4
"""Time without a byte to any call after which a server counts as ended. Sound servers
pause for up to two seconds."""

AVOIDED_S = 3.0
"""Time for which a server counts as silent after calls left it and no byte came since.
The next call tries it again."""

MIN_WAIT_S = 0.7
"""Time without a byte before which no call leaves; TCP resends a lost packet sooner."""

USUAL_OBJECTIVES = 2.5
"""Multiple of its objective within which the first byte of a call may come."""

USUAL_PAUSES = 4.0
"""Multiple of its pause objective within which the next bytes of a stream may come."""

MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
"""Callers leave after the longest of this time, this multiple of their objective and
this multiple of their pause objective without a byte."""

SKIPPED_FRACTION = 0.6
"""Fraction of callers' patience after which a call leaves a server that answers others.
The rest is for the first byte of the next one."""


@frozen
class _Due:
    at: float  # time from which the server owes bytes to a call
    silent_s: float  # time without a byte that is a silence for it


@define
class ServerActivity:
    """Record when a server sent anything to this router, over any connection."""

    heard_at: float = float("-inf")
    resumed_at: float = float("-inf")  # first byte after the last gap of a silence
    given_up_at: float = float("-inf")  # last time at which a call gave it up as silent
    begun_until: float = float("-inf")  # last send time of a call that it began
    _due: dict[int, _Due] = field(factory=dict)  # by call
    _silent_s: float = SILENT_S  # the longest silence of all that wait

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for bytes of the server."""
        return len(self._due)

    def expect(self, call: int, due_at: float, pause_objective_s: float) -> None:
        """Record a call from which bytes are due from a time on."""
        silent_s = max(SILENT_S, PAUSE_FACTOR * pause_objective_s)
        self._due[call] = _Due(due_at, silent_s)
        self._silent_s = max(self._silent_s, silent_s)

    def settle(self, call: int) -> None:
        """Record the end of a call."""
        due = self._due.pop(call, None)
        if due is not None and due.silent_s >= self._silent_s > SILENT_S:
            rest = (row.silent_s for row in self._due.values())
            self._silent_s = max(rest, default=SILENT_S)

    def note_heard(self, now: float) -> None:
        """Record that a byte came."""
        if now - self.heard_at > self._silent_s:
            self.resumed_at = now
        self.heard_at = now

    def note_begun(self, call: int, sent_at: float, now: float) -> None:
        """Record the first part of the answer to a call; more is due from now on."""
        self.begun_until = max(self.begun_until, sent_at)
        due = self._due.get(call)
        if due is not None:
            self._due[call] = _Due(min(due.at, now), due.silent_s)

    def note_given_up(self, now: float) -> None:
        """Record that a call gave up waiting, if the server is silent to all."""
        if self.is_silent(now):
            self.given_up_at = now

    def silent_s(self, now: float) -> float:
        """Return for how many seconds the server has owed bytes; 0 if it owes none."""
        if not self._due:
            return 0.0
        first_due_at = min(due.at for due in self._due.values())
        return max(0.0, now - max(self.heard_at, first_due_at))

    def is_silent(self, now: float) -> bool:
        """Return whether the server sends nothing to any call that waits for it."""
        if now - self.heard_at <= self._silent_s:
            return False
        if self.heard_at < self.given_up_at and now - self.given_up_at < AVOIDED_S:
            return True
        return self.silent_s(now) > self._silent_s


@frozen
class SilentCall:
    """Describe a call whose next bytes have not come."""

    sent_at: float
    last_byte_at: float  # of its answer; its send before that
    begun: bool  # a part of its answer came
    deadline: float
    objective_s: float
    pause_objective_s: float = 0.0  # 0 unless it is a stream
    expected_s: float = 0.0  # estimated time from its send to the first byte

    @property
    def bytes_due_at(self) -> float:
        """Return the time before which a sound server may send nothing to the call."""
        if self.begun:
            return self.last_byte_at + USUAL_PAUSES * self.pause_objective_s
        first_s = max(USUAL_OBJECTIVES * self.objective_s, self.expected_s)
        return self.sent_at + first_s

    @property
    def patience_s(self) -> float:
        """Return the time without a byte after which its caller leaves."""
        return max(
            MIN_PATIENCE_S,
            PATIENCE_OBJECTIVES * self.objective_s,
            PATIENCE_PAUSES * self.pause_objective_s,
        )

    @property
    def latest_move_at(self) -> float:
        """Return the latest time at which another server can still answer it."""
        answers_s = self.objective_s * (2.0 if self.pause_objective_s else 1.0)
        return self.deadline - answers_s


def leave_at(call: SilentCall, activity: ServerActivity, now: float) -> float:
    """Return when a call may leave its server if no byte comes; `inf`: it stays.

    A server that answers others has skipped the call if it stopped its answer, or began
    that of a call sent later. The time counts anew after each pause of the server.
    """
    limit_s = MAX_PAUSE_S
    since = call.last_byte_at
    if not activity.is_silent(now):
        since = max(since, activity.resumed_at)
        # Plain servers answer many calls at a time, in any order.
        in_order = call.pause_objective_s > 0
        if call.begun or (in_order and activity.begun_until > call.sent_at):
            limit_s = SKIPPED_FRACTION * call.patience_s
    earliest = max(call.bytes_due_at, call.last_byte_at + MIN_WAIT_S)
    if call.latest_move_at < earliest:
        return math.inf
    return min(max(since + limit_s, earliest), call.latest_move_at)

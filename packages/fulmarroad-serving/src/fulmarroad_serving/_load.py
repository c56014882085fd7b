"""Estimate how soon an engine would begin an answer.

Load pattern: many routers send long prompts among short answers. An engine admits
prompts in the order of arrival and reads them one after the other, so its queue
determines the time of the first token. The engine's own report is a tenth of a second
old and the same for all routers; relying on it alone delays first tokens at some
engines while others idle. So each router counts the calls that it sent and that haven't
begun, adds the load that its peers report, and learns each engine's speed from the
first tokens of its calls.
"""

from __future__ import annotations

import itertools
import math

from attrs import define, evolve, field, frozen

from fulmarroad.types import RouterName, ServerName
from fulmarroad_serving.engines import ExpectedLength, SlotTimes

READ_RATE = 60_000.0
"""Initial estimate of prompt tokens a second. Engines that read 112 to 157 tokens a
millisecond, in steps of 1,024 shared with about thirty answers, reach 50 to 90
thousand. Too high an estimate fills every engine before its first answer."""

READ_RATE_BOUNDS = (8_000.0, 400_000.0)
"""Range of learned rates; rates outside of it result from wrong assumptions about what
was cached."""

BASE_S = 0.035
"""Initial estimate of the time to the first token of an idle engine with the prompt
cached: two engine steps and a network round trip."""

LEARNING_RATE = 0.12
"""Weight of one first token in the learned speed: a slow engine is detected after eight
of them."""

MAX_SPEED_RATIO = 3.0
"""Maximum ratio between the current estimate and the speed derived from one first
token, in either direction."""

MIN_LEARNED_TOKENS = 1_500
"""Minimum number of tokens to learn a speed from: the time of fewer tokens depends more
on the network than on the engine."""

OVERDUE_ESTIMATES = 3.0
OVERDUE_S = 0.25
"""Multiple of the estimate, and time in addition, after which an answer is overdue: a
wrong assumption about what is cached together with one lost packet stays below it."""

PEER_FRESH_S = 1.0
"""Age at which a peer's load report expires: five report intervals."""

PEER_SUM_INTERVAL_S = 0.05
"""Interval at which peers' loads are summed: a twentieth of the age at which a report
expires."""

NEVER = float("-inf")

_charge_numbers = itertools.count(1)

DRAINED_FRACTION = 0.5
"""Fraction of the tokens an engine reads since a peer's report that is subtracted from
the peer's waiting tokens. Under steady load peers send as many tokens as are read, and
after a burst none."""

FULL_PENALTY_S = 1.0
"""Time added to the wait if every slot is taken and the lengths of answers aren't
known: a slot is only freed when an answer ends."""


@frozen
class PeerLoad:
    """Hold the running calls and waiting tokens of one peer at a server."""

    running: int
    waiting_tokens: int


@frozen
class SharedPart:
    """Hold what was assumed on the shared part of a prompt when it was sent."""

    tokens: int
    age_s: float  # since the server was last sent the part
    cached: bool


@frozen
class Charge:
    """Hold what one call adds to a server's load, as counted by this router."""

    server: ServerName
    tokens: int  # prompt tokens to read, without those believed to be cached
    ahead_tokens: float  # waiting at the server when the call was sent
    sent_at: float
    expected_s: float = 0.0  # until the answer begins
    number: int = 0
    wait_s: float = 0.0  # the expected wait in it
    part: SharedPart | None = None  # of the prompt, if it has one


@define
class ServerLoad:
    """Track and estimate the load of one server."""

    running: int = 0
    waiting_tokens: int = 0
    read_rate: float = READ_RATE
    base_s: float = BASE_S
    peers: dict[RouterName, tuple[float, PeerLoad]] = field(factory=dict)
    token_s: float = 0.0  # usual time per generated token; 0: not known
    _slots: SlotTimes = field(factory=lambda: SlotTimes(FULL_PENALTY_S))
    _unbegun: dict[int, Charge] = field(factory=dict)  # in the order of sending
    _counted: set[int] = field(factory=set)  # numbers of the running calls
    _summed_at: float = NEVER
    _peers_running: int = 0
    _peers_waiting: int = 0
    _peers_reported_at: float = 0.0  # on average, by waiting tokens

    @property
    def oldest(self) -> Charge | None:
        """Return the oldest of this router's calls that have not begun."""
        return next(iter(self._unbegun.values()), None)

    def send(
        self,
        server: ServerName,
        tokens: int,
        now: float,
        expected_s: float = 0.0,
        wait_s: float = 0.0,
    ) -> Charge:
        """Record a call that is sent."""
        ahead = self.total_waiting(now)
        number = next(_charge_numbers)
        charge = Charge(server, tokens, ahead, now, expected_s, number, wait_s)
        self._counted.add(number)
        self.running += 1
        self.waiting_tokens += tokens
        self._unbegun[charge.number] = charge
        return charge

    def expect_end(
        self, charge: Charge, length: ExpectedLength, begun_at: float | None = None
    ) -> None:
        """Record how long the answer to a call will take its slot."""
        if begun_at is None:
            begun_at = charge.sent_at + charge.expected_s
        self._slots.add(charge.number, length, begun_at)

    def adopt(self, charge: Charge, *, begun: bool) -> Charge:
        """Count a call that another router counted until now."""
        charge = evolve(charge, number=next(_charge_numbers))
        self._counted.add(charge.number)
        self.running += 1
        if not begun:
            self.waiting_tokens += charge.tokens
            self._unbegun[charge.number] = charge
        return charge

    def overdue_s(self, now: float) -> float:
        """Return by how much the oldest call without an answer is overdue.

        A server that accepts calls and never answers causes no failures until the
        callers' deadlines, and meanwhile looks like the least loaded one.
        """
        oldest = self.oldest
        if oldest is None:
            return 0.0
        due = OVERDUE_ESTIMATES * oldest.expected_s + OVERDUE_S
        return max(0.0, now - oldest.sent_at - due)

    def begin(self, charge: Charge, now: float, *, learn: bool = True) -> None:
        """Record a first token and learn the engine's speed from it.

        `learn` is false if the part's state turned out not to be as assumed.
        """
        if self._unbegun.pop(charge.number, None) is not None:
            self.waiting_tokens -= charge.tokens
            self._slots.begin(charge.number, now)
        if not learn:
            return
        duration_s = now - charge.sent_at
        tokens = charge.ahead_tokens + charge.tokens
        if tokens < MIN_LEARNED_TOKENS:
            self.base_s += LEARNING_RATE * (min(duration_s, 4 * BASE_S) - self.base_s)
            return
        seen = tokens / max(duration_s - self.base_s, 0.001)
        # A prompt that was wrongly believed to be cached, or not to be, makes the
        # engine appear to have a quarter or four times its speed.
        low, high = self.read_rate / MAX_SPEED_RATIO, self.read_rate * MAX_SPEED_RATIO
        step = math.log(min(max(seen, low), high) / self.read_rate)
        low, high = READ_RATE_BOUNDS
        learned = self.read_rate * math.exp(LEARNING_RATE * step)
        self.read_rate = min(max(learned, low), high)

    def end(self, charge: Charge) -> None:
        """Record the end of a call.

        A call that was sent before the server restarted is no longer counted.
        """
        if charge.number not in self._counted:
            return
        self._counted.remove(charge.number)
        self._slots.end(charge.number)
        self.running -= 1
        if self._unbegun.pop(charge.number, None) is not None:
            self.waiting_tokens -= charge.tokens

    def receive_load(self, router: RouterName, load: PeerLoad, now: float) -> None:
        """Store a peer's load report."""
        self.peers[router] = (now, load)
        self._summed_at = NEVER

    def forget(self, router: RouterName) -> None:
        """Drop a peer's load report."""
        if self.peers.pop(router, None) is not None:
            self._summed_at = NEVER

    def total_running(self, now: float) -> int:
        """Return the number of running and waiting calls of all routers."""
        self._sum_peers(now)
        return self.running + self._peers_running

    def answering(self, now: float) -> float:
        """Return how many answers run on average until a new prompt is read.

        The calls that have not begun do so one after the other.
        """
        return max(0.0, self.total_running(now) - len(self._unbegun) / 2)

    def total_waiting(self, now: float) -> float:
        """Return the number of prompt tokens of all routers that wait to be read."""
        self._sum_peers(now)
        if not self._peers_waiting:
            return float(self.waiting_tokens)
        # Since the reports, the engine has read tokens and the peers have sent more.
        read = DRAINED_FRACTION * self.read_rate * (now - self._peers_reported_at)
        return self.waiting_tokens + max(0.0, self._peers_waiting - read)

    def wait_s(self, slots: int, now: float) -> float:
        """Return how long a new prompt waits before it is read."""
        wait = self.total_waiting(now) / self.read_rate
        return wait + self.slot_wait_s(slots, now)

    def slot_wait_s(self, slots: int, now: float) -> float:
        """Return the part of a new prompt's wait that is for a free slot."""
        if not slots or (running := self.total_running(now)) < slots:
            return 0.0
        return self._slot_wait_s(running + 1 - slots, running, now)

    def _slot_wait_s(self, ends: int, running: int, now: float) -> float:
        """Return the time until a number of the running answers has ended."""
        if not self.token_s:
            return FULL_PENALTY_S
        return self._slots.wait_s(ends, running, self.token_s, now)

    def read_s(self, tokens: int) -> float:
        """Return the time to read a prompt and generate the first token."""
        return self.base_s + tokens / self.read_rate

    def _sum_peers(self, now: float) -> None:
        """Sum the peers' loads if the last sum is old: each call needs it twice."""
        if now - self._summed_at < PEER_SUM_INTERVAL_S:
            return
        fresh = [row for row in self.peers.values() if now - row[0] < PEER_FRESH_S]
        self._peers_running = sum(load.running for _, load in fresh)
        self._peers_waiting = sum(load.waiting_tokens for _, load in fresh)
        weighted = sum(at * load.waiting_tokens for at, load in fresh)
        waiting = self._peers_waiting
        self._peers_reported_at = weighted / waiting if waiting else now
        self._summed_at = now

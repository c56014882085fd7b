"""Estimate how soon a model engine would begin an answer.

Pattern of load: long prompts among short answers, sent by many routers at once. An
engine admits in the order of arrival and reads one prompt after the other, so what
waits there decides the first token; its own report is a tenth of a second old and read
by everybody. Without an estimate of one's own, operators would notice first tokens that
come late at some engines while others idle. The estimate counts what this router sent
and has not seen begin, adds what its peers say of theirs, and learns each engine's
speed from the first tokens that come.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from fulmarroad.types import RouterName, ServerName

READ_RATE = 60_000.0
"""Prompt tokens a second before anything was seen. Worked out, 50 to 90 thousand, for
engines that read 112 to 157 tokens a millisecond in steps of 1,024 shared with some
thirty answers. Too high a guess fills every engine before its first answer."""

READ_RATE_BOUNDS = (8_000.0, 400_000.0)
"""Learned rates outside of these come from mistaken guesses of what was cached."""

BASE_S = 0.035
"""First token of an idle engine with the prompt cached: two steps and both ways."""

LEARNING = 0.12
"""Weight of one first token in what is learned: a slow engine shows after eight."""

MOST_SURPRISE = 3.0
"""Most that one first token may say the engine is faster or slower than thought."""

LEAST_LEARNED_TOKENS = 1_500
"""A shorter wait tells more about the network than about the engine."""

OVERDUE_ESTIMATES = 3.0
OVERDUE_S = 0.25
"""Estimates, and time beyond, after which an answer is overdue: a wrong guess of what
is cached and one lost packet are not enough."""

PEER_FRESH_S = 1.0
"""Age at which a peer's word on its own load is dropped: five of its reports."""

RESUM_S = 0.05
"""Age of the sum of peers' words: a twentieth of the age at which one is dropped."""

NEVER = float("-inf")

DRAINED_PART = 0.5
"""Part of what an engine reads in the age of a report by which peers' prompts are fewer
by now. In a steady load they send as much as is read, in a burst that ends nothing."""

FULL_PENALTY_S = 1.0
"""Added where every slot is taken: the next place is an answer's end away."""


@frozen
class PeerLoad:
    """Hold what one peer has running and waiting at a server."""

    running: int
    waiting_tokens: int


@frozen
class Charge:
    """Hold one running call at a server as this router counts it."""

    server: ServerName
    tokens: int  # prompt tokens to read, as far as known not cached
    ahead_tokens: float  # waiting there when it was sent
    sent_at: float
    expected_s: float = 0.0  # until the answer begins
    number: int = 0


@define
class ServerLoad:
    """Hold what is known of the load of one server."""

    running: int = 0
    waiting_tokens: int = 0
    read_rate: float = READ_RATE
    base_s: float = BASE_S
    peers: dict[RouterName, tuple[float, PeerLoad]] = field(factory=dict)
    _unbegun: dict[int, Charge] = field(factory=dict)  # in the order of sending
    _number: int = 0
    _summed_at: float = NEVER
    _peers_running: int = 0
    _peers_waiting: int = 0
    _peers_wrote_at: float = 0.0  # on average, by waiting tokens

    def send(
        self, server: ServerName, tokens: int, now: float, expected_s: float = 0.0
    ) -> Charge:
        """Count a call that is sent."""
        self._number += 1
        ahead = self.total_waiting(now)
        charge = Charge(server, tokens, ahead, now, expected_s, self._number)
        self.running += 1
        self.waiting_tokens += tokens
        self._unbegun[charge.number] = charge
        return charge

    def overdue_s(self, now: float) -> float:
        """Return how far the oldest call without an answer is behind its estimate.

        A server that takes calls and never answers fails none until its callers'
        deadlines, and meanwhile looks like the one with the least to do.
        """
        oldest = next(iter(self._unbegun.values()), None)
        if oldest is None:
            return 0.0
        due = OVERDUE_ESTIMATES * oldest.expected_s + OVERDUE_S
        return max(0.0, now - oldest.sent_at - due)

    def begin(self, charge: Charge, now: float) -> None:
        """Count a first token; learn the engine's speed from it."""
        self.waiting_tokens -= charge.tokens
        self._unbegun.pop(charge.number, None)
        took = now - charge.sent_at
        tokens = charge.ahead_tokens + charge.tokens
        if tokens < LEAST_LEARNED_TOKENS:
            self.base_s += LEARNING * (min(took, 4 * BASE_S) - self.base_s)
            return
        seen = tokens / max(took - self.base_s, 0.001)
        # A prompt that was thought to be cached and was not, or the other way round,
        # looks like an engine of a quarter or of four times the speed.
        low, high = self.read_rate / MOST_SURPRISE, self.read_rate * MOST_SURPRISE
        step = math.log(min(max(seen, low), high) / self.read_rate)
        low, high = READ_RATE_BOUNDS
        learned = self.read_rate * math.exp(LEARNING * step)
        self.read_rate = min(max(learned, low), high)

    def end(self, charge: Charge, *, begun: bool) -> None:
        """Count a call that ended."""
        self.running -= 1
        self._unbegun.pop(charge.number, None)
        if not begun:
            self.waiting_tokens -= charge.tokens

    def receive_load(self, router: RouterName, load: PeerLoad, now: float) -> None:
        """Take a peer's word."""
        self.peers[router] = (now, load)
        self._summed_at = NEVER

    def forget(self, router: RouterName) -> None:
        """Drop a peer's word."""
        if self.peers.pop(router, None) is not None:
            self._summed_at = NEVER

    def total_running(self, now: float) -> int:
        """Return the calls of all routers that run or wait there."""
        self._sum_peers(now)
        return self.running + self._peers_running

    def total_waiting(self, now: float) -> float:
        """Return the prompt tokens of all routers that wait to be read there."""
        self._sum_peers(now)
        if not self._peers_waiting:
            return float(self.waiting_tokens)
        # The engine has read on since the peers wrote, and they have sent more.
        read = DRAINED_PART * self.read_rate * (now - self._peers_wrote_at)
        return self.waiting_tokens + max(0.0, self._peers_waiting - read)

    def wait_s(self, slots: int, now: float) -> float:
        """Return how long a new prompt waits before it is read."""
        wait = self.total_waiting(now) / self.read_rate
        if slots and self.total_running(now) >= slots:
            wait += FULL_PENALTY_S
        return wait

    def read_s(self, tokens: int) -> float:
        """Return how long reading a prompt takes, with the first token."""
        return self.base_s + tokens / self.read_rate

    def _sum_peers(self, now: float) -> None:
        """Sum what peers said, at most once in a while: each call asks twice."""
        if now - self._summed_at < RESUM_S:
            return
        told = [row for row in self.peers.values() if now - row[0] < PEER_FRESH_S]
        self._peers_running = sum(load.running for _, load in told)
        self._peers_waiting = sum(load.waiting_tokens for _, load in told)
        weighted = sum(at * load.waiting_tokens for at, load in told)
        waiting = self._peers_waiting
        self._peers_wrote_at = weighted / waiting if waiting else now
        self._summed_at = now

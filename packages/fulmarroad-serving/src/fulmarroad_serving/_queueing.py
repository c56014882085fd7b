"""Let requests for places wait in the order of an owner's queue.

Load pattern: a surge of calls of many workspaces for the engines of one owner. The
first call in order gets the next place at an engine that begins it almost at once.
Calls that arrive meanwhile don't get past those that wait, and calls that certainly
can't begin on time are refused at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from attrs import define, evolve, field

from fulmarroad.types import RefusalReason, RouterName
from fulmarroad_serving._demands import Demand, Placement, Refusal
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._held_requests import (
    AddressedReply,
    HeldRequest,
    request_key,
)
from fulmarroad_serving._owner_messages import PlacementRequest, ReplyKind
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._routing import part_id
from fulmarroad_serving.admission import (
    DROPPED,
    GRANTED,
    MAX_GRANTS,
    MAX_TRIES,
    REFUSED,
    AdmissionQueue,
    EntryKey,
    QueueCounts,
    QueueEntry,
    QueueStatus,
    ScanSchedule,
    StartTimes,
    Urgency,
    start_times,
)

PAUSE_S = 0.03
"""Longest time for which a queued call that found no place is skipped. A call that
begins or ends makes all of them eligible again."""


ENTRY_BYTES = 1_000
"""Memory of a queued request without its texts, about."""


class Owner(Protocol):
    """Decide on single requests as the owner of servers."""

    def owned(self, request: PlacementRequest) -> OwnedServers:
        """Return the servers for which this router decides on a request."""

    def place(
        self, held: HeldRequest, owned: OwnedServers, now: float
    ) -> Placement | Refusal:
        """Choose one of these servers for a request."""

    def grant(self, held: HeldRequest, placed: Placement, now: float) -> AddressedReply:
        """Count a call that got a place and return the reply."""

    def refuse(self, held: HeldRequest, refusal: Refusal, now: float) -> AddressedReply:
        """Count a call that gets no place and return the reply."""

    def reply(self, request: PlacementRequest, kind: ReplyKind) -> AddressedReply:
        """Return a reply without further fields."""


@define
class QueuedRequests:
    """Decide on requests through the queue of an owner."""

    _dispatcher: Dispatcher
    _owner: Owner
    queue: AdmissionQueue = field(init=False)
    counts: QueueCounts = field(factory=QueueCounts, init=False)
    _scans: ScanSchedule = field(factory=ScanSchedule, init=False)
    _decided: list[AddressedReply] = field(factory=list, init=False)
    """Replies to calls that were dropped from the queue for others."""

    def __attrs_post_init__(self) -> None:
        self.queue = AdmissionQueue(self._dispatcher.shares)

    @property
    def next_due(self) -> float | None:
        """Return when to decide again; None if nothing waits."""
        if self._decided:
            return float("-inf")
        return self._scans.next_due(len(self.queue), self.queue.next_end)

    def pop_status(self, now: float) -> QueueStatus | None:
        """Return the state of the queue if a line about it is due."""
        return self.counts.pop_status(self.queue, now)

    def receive(self, held: HeldRequest, now: float) -> AddressedReply:
        """Decide on a request that may go through the queue."""
        owned = self._owner.owned(held.request)
        if not owned.rows:
            return self._owner.reply(held.request, ReplyKind.NOT_OWNER)
        entry = self._entry(held, owned, now)
        if not len(self.queue):
            reply = self._try(entry, owned, now)
            if reply is not None:
                return reply
        elif self._is_hopeless(entry, owned, now):
            return self._end_wait(entry, RefusalReason.WAIT_TOO_LONG, now)
        if entry.until <= now or (not held.request.may_wait and entry.tries):
            return self._end_wait(entry, RefusalReason.WAIT_TOO_LONG, now)
        return self._enqueue(entry, now)

    def decide(self, now: float) -> list[AddressedReply]:
        """Refuse calls whose wait ended, and look for places for the first others."""
        replies, self._decided = self._decided, []
        due = self._scans.next_due(len(self.queue), self.queue.next_end)
        if due is None or due > now:
            return replies
        for ended in self.queue.pop_ended(now):
            replies.append(self._end_wait(ended, RefusalReason.WAIT_TOO_LONG, now))
        grants, tries_left = 0, MAX_TRIES
        while tries_left and grants < MAX_GRANTS:
            entry = self.queue.first(now)
            if entry is None:
                break
            reply = self._try_first(entry, now)
            if reply is None:
                tries_left -= 1
            else:
                grants += 1
                replies.append(reply)
        self._scans.note_scan(now, unfinished=grants == MAX_GRANTS)
        return replies

    def drop(self, key: EntryKey, now: float) -> None:
        """Drop a call whose caller left while it waited."""
        entry = self.queue.remove(key)
        if entry is not None:
            self.counts.note(DROPPED, now - entry.since)

    def drop_lost(self, alive: Mapping[RouterName, int], now: float) -> None:
        """Drop the calls of routers that are gone or have restarted."""
        for entry in self.queue.remove_if(lambda key: alive.get(key[0]) != key[1]):
            self.counts.note(DROPPED, now - entry.since)

    def note_capacity(self) -> None:
        """Make all queued calls eligible again, as a call began or ended."""
        if len(self.queue):
            self.queue.resume_all()
            self._scans.note_event()

    def _entry(self, held: HeldRequest, owned: OwnedServers, now: float) -> QueueEntry:
        request, demand = held.request, held.attempt.demand
        tokens = self._tokens_to_read(demand, owned, now)
        loads = (self._dispatcher.load(row.instance.id) for row in owned.rows)
        times = start_times(
            demand,
            min(load.read_s(tokens) for load in loads),
            now,
            late=held.attempt.late_anyway,
            continues=bool(demand.version),
            remaining_s=request.remaining_s,
        )
        return QueueEntry(
            request_key(request),
            demand.workspace,
            demand.units,
            tokens,
            _size(request),
            now,
            times.latest_start,
            times.until,
            _urgency(demand, times),
            evolve(held, bound=times.bound),
        )

    def _tokens_to_read(self, demand: Demand, owned: OwnedServers, now: float) -> int:
        """Return the tokens of a prompt that the best engine for it has to read."""
        parts, part = self._dispatcher.parts, part_id(demand.part)
        if part and any(parts.has(part, row.instance.id, now) for row in owned.rows):
            return demand.own_tokens
        return demand.prompt_tokens

    def _is_hopeless(self, entry: QueueEntry, owned: OwnedServers, now: float) -> bool:
        """Return whether the calls ahead need longer than is left to begin on time.

        Its caller is told at once then, and has the time for another attempt.
        """
        if entry.urgency is not Urgency.ON_TIME:
            return False
        loads = (self._dispatcher.load(row.instance.id) for row in owned.rows)
        rate = sum(load.read_rate for load in loads)
        ahead = self.queue.tokens_ahead(entry.workspace, entry.latest_start, now)
        return ahead / rate > entry.latest_start - now

    def _enqueue(self, entry: QueueEntry, now: float) -> AddressedReply:
        held: HeldRequest = entry.request
        for dropped in self.queue.push(entry, now):
            reply = self._end_wait(dropped, RefusalReason.QUEUE_FULL, now)
            if dropped is entry:
                return reply
            self._decided.append(reply)
        self._scans.note_event()
        waits = self._owner.reply(held.request, ReplyKind.WAITS)
        return evolve(waits, reply=evolve(waits.reply, wait_s=entry.until - now))

    def _try_first(self, entry: QueueEntry, now: float) -> AddressedReply | None:
        """Return the final reply to a queued call, or None if it waits on."""
        held: HeldRequest = entry.request
        owned = self._owner.owned(held.request)
        if not owned.rows:
            self.queue.remove(entry.key)
            return self._owner.reply(held.request, ReplyKind.NOT_OWNER)
        reply = self._try(entry, owned, now)
        if reply is None and not held.request.may_wait:
            reply = self._end_wait(entry, RefusalReason.WAIT_TOO_LONG, now)
        if reply is not None:
            self.queue.remove(entry.key)
            return reply
        self.queue.pause(entry, now + PAUSE_S)
        return None

    def _try(
        self, entry: QueueEntry, owned: OwnedServers, now: float
    ) -> AddressedReply | None:
        """Return the final reply to a call if it gets a place now or never."""
        held: HeldRequest = entry.request
        if not self._has_room(held, owned, now):
            entry.tries += 1
            return None
        placed = self._owner.place(held, owned, now)
        if isinstance(placed, Placement):
            self.counts.note(GRANTED, now - entry.since)
            reply = self._owner.grant(held, placed, now)
            self.queue.note_granted(entry.workspace, entry.units, now)
            return reply
        if placed.reason is not RefusalReason.WAIT_TOO_LONG:
            self.counts.note(REFUSED, now - entry.since)
            return self._owner.refuse(held, placed, now)
        entry.tries += 1
        return None

    def _has_room(self, held: HeldRequest, owned: OwnedServers, now: float) -> bool:
        """Return whether any engine begins a call within its bound.

        In a surge mostly none does, and this costs a fraction of the choice of one.
        """
        assert held.bound is not None
        wait_s, servers = held.bound.wait_s, self._dispatcher.servers
        return any(servers.engine_wait_s(row, now) <= wait_s for row in owned.rows)

    def _end_wait(
        self, entry: QueueEntry, reason: RefusalReason, now: float
    ) -> AddressedReply:
        held: HeldRequest = entry.request
        self.counts.note(REFUSED, now - entry.since)
        refusal = self._dispatcher.refuse_queued(held.request.demand, reason, now)
        return self._owner.refuse(held, refusal, now)


def _size(request: PlacementRequest) -> int:
    demand = request.demand
    texts = len(demand.call_id) + len(demand.part) + len(demand.workspace)
    names = sum(map(len, request.avoid)) + sum(map(len, request.full))
    cold = sum(map(len, request.cold.permitted)) + sum(map(len, request.cold.closed))
    return ENTRY_BYTES + texts + names + cold + sum(map(len, request.left_out))


def _urgency(demand: Demand, times: StartTimes) -> Urgency:
    if demand.version:
        return Urgency.CONTINUES
    return Urgency.LATE if times.late else Urgency.ON_TIME

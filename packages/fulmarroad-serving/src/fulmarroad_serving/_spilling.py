"""Send a call on to a second owner after its first one refused it.

The decisions are in `placement`; this module asks the owner and counts the outcome. A
spilled call was not sent to a server, so it needs no retry of the fleet's budget.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from attrs import define, evolve

from fulmarroad.types import RefusalReason, RouterName, ServerName
from fulmarroad_serving._demands import Demand, Placement, Refusal
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._served_call import ActiveCall
from fulmarroad_serving.placement import SpillOutcome, can_begin_on_time


@define
class Spiller:
    """Ask second owners for the calls of this router."""

    _client: OwnerClient
    _dispatcher: Dispatcher
    _clock: Callable[[], float]

    async def spill(
        self, run: ActiveCall, refusal: Refusal, avoid: Collection[ServerName]
    ) -> Placement | None:
        """Return a place at a second owner, or None; do nothing for a second time."""
        if run.spilled or not may_spill(self._dispatcher, run.demand, refusal):
            return None
        now = self._clock()
        left_s = run.demand.objective_s - (now - run.begun_at)
        demand = evolve(run.demand, objective_s=max(0.0, left_s))
        first = refusal.owner or self._client.me
        owner = self.second_owner(demand, first, now)
        if owner is None:
            return None
        run.spilled = True
        self._dispatcher.rooms.note_sent(owner, demand.prompt_tokens, now)
        remaining_s = run.remaining_s(now)
        placed = await self._client.request(
            owner, demand, avoid, may_wait=False, remaining_s=remaining_s
        )
        self._client.spilled.note(owner, outcome_of(placed))
        return placed if isinstance(placed, Placement) else None

    def leaves_early(
        self,
        run: ActiveCall,
        refusal: Refusal,
        owned: OwnedServers | None,
        held_s: float,
    ) -> bool:
        """Return whether a call should leave this router's own queue.

        `owned` is None if all servers were looked at.
        """
        if owned is None or run.spilled:
            return False
        now, without = self._clock(), {self._client.me}
        return refuses_early(
            self._dispatcher, run.demand, refusal, owned, held_s, now, without
        )

    def second_owner(
        self, demand: Demand, first: RouterName, now: float
    ) -> RouterName | None:
        """Return the owner to ask for a call that `first` refused, or None.

        `demand` has the objective that is left.
        """
        owner = self._client.spare_owner(demand, first)
        if owner is None:
            return None
        read_s = self._client.read_s(demand, owner)
        return owner if can_begin_on_time(demand.objective_s, read_s) else None


def may_spill(dispatcher: Dispatcher, demand: Demand, refusal: Refusal) -> bool:
    """Return whether a refused call may be sent on to a second owner.

    A stream that has begun only goes on at servers of its version, whose room is not
    reported. A call that is late in any case would take the room of others.
    """
    if refusal.reason is not RefusalReason.WAIT_TOO_LONG or demand.version:
        return False
    if refusal.is_late:
        return False
    return dispatcher.may_spill(demand.service)


def refuses_early(
    dispatcher: Dispatcher,
    demand: Demand,
    refusal: Refusal,
    owned: OwnedServers,
    held_s: float,
    now: float,
    without: Collection[RouterName],
) -> bool:
    """Return whether an owner should refuse a call now instead of holding it on.

    That is so if its own queue won't be short enough before the call is refused
    anyway, and another owner has room: then time is left for that one. `demand` has the
    whole objective, of which `held_s` have passed; the routers `without` are not asked.
    """
    if not may_spill(dispatcher, demand, refusal):
        return False
    if not HeldCalls.is_futile(refusal, demand.objective_s, held_s):
        return False
    tokens = demand.prompt_tokens
    read_s = dispatcher.servers.mean_read_s(owned.rows, tokens)
    if not can_begin_on_time(demand.objective_s - held_s, read_s):
        return False
    return dispatcher.rooms.has_room(tokens, now, without)


def outcome_of(placed: Placement | Refusal | None) -> SpillOutcome:
    """Return how a second owner's decision is counted."""
    if placed is None:
        return SpillOutcome.NO_ANSWER
    granted = isinstance(placed, Placement)
    return SpillOutcome.GRANTED if granted else SpillOutcome.REFUSED

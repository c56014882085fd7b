"""Find a place for a call: ask the owner of its servers, or decide here."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio
from attrs import evolve

from fulmarroad.types import RefusalReason, ServerName
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Placement, Refusal
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._served_call import ActiveCall
from fulmarroad_serving._spilling import Spiller


class CallPlacer:
    """Find places for this router's calls, and return those that were not used."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        owner_client: OwnerClient | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self.owner_client = owner_client
        self.spiller = (
            Spiller(owner_client, dispatcher, clock)
            if owner_client is not None
            else None
        )
        self._held = HeldCalls()

    async def find(self, run: ActiveCall, *, may_wait: bool) -> Placement | Refusal:
        """Find a place for a call, at a second owner if the first one refuses it."""
        placement = await self._find_place(run, may_wait=may_wait)
        if self.spiller is None or run.moving or not isinstance(placement, Refusal):
            return placement
        placed = await self.spiller.spill(run, placement, self._avoided(run))
        if placed is None:
            return placement
        run.summary.held_s = self._clock() - run.begun_at
        return placed

    async def _find_place(
        self, run: ActiveCall, *, may_wait: bool
    ) -> Placement | Refusal:
        """Ask the owner of the servers that suit a call, or decide here."""
        client = self.owner_client
        owner = client.owner_for(run.demand) if client is not None else None
        if client is None or owner is None:
            return await self._place_here(run, None, may_wait=may_wait)
        if owner == client.me and not self._queues_own(run.demand.service):
            owned = client.own_servers(run.demand)
            placed = await self._place_here(run, owned, may_wait=may_wait)
            if not _lacks_servers(placed):
                return placed
            # Other routers own servers that this call may use.
            return await self._place_here(run, None, may_wait=may_wait)
        asked_at = self._clock()
        # Of a call that stays where it is if it is refused, no return is scheduled.
        remaining_s = math.inf if run.moving else run.remaining_s(asked_at)
        placement = await client.request(
            owner,
            run.demand,
            self._avoided(run),
            may_wait=may_wait,
            remaining_s=remaining_s,
        )
        if placement is None:
            return await self._place_here(run, None, may_wait=may_wait)
        run.summary.held_s = self._clock() - asked_at
        run.summary.wait_s, run.summary.use = placement.wait_s, placement.use
        return placement

    def _queues_own(self, service: ServiceName) -> bool:
        """Return whether this router asks itself as the owner, as it asks others."""
        client = self.owner_client
        has_queue = self._dispatcher.queues_calls(service)
        return has_queue and client is not None and client.local is not None

    async def _place_here(
        self,
        run: ActiveCall,
        owned: OwnedServers | None,
        *,
        may_wait: bool,
    ) -> Placement | Refusal:
        """Choose a server; retry while the call can still begin on time."""
        placement = await self._place_or_hold(run, owned, may_wait=may_wait)
        self._dispatcher.placements.note_decision(
            run.demand.workspace,
            run.demand.units,
            placed=isinstance(placement, Placement),
        )
        return placement

    async def _place_or_hold(
        self,
        run: ActiveCall,
        owned: OwnedServers | None,
        *,
        may_wait: bool,
    ) -> Placement | Refusal:
        placement = self._place(run, owned)
        if not may_wait:
            return placement
        objective_s = run.demand.objective_s
        self._held.count += 1
        try:
            while isinstance(placement, Refusal):
                now = self._clock()
                held_s = now - run.begun_at
                pause_s = self._held.next_poll_s(placement, objective_s, held_s)
                if pause_s is None or pause_s >= run.remaining_s(now):
                    break
                spiller = self.spiller
                if spiller and spiller.leaves_early(run, placement, owned, held_s):
                    break
                await anyio.sleep(pause_s)
                run.summary.held_s = self._clock() - run.begun_at
                placement = self._place(run, owned)
        finally:
            self._held.count -= 1
        return placement

    def _place(
        self, run: ActiveCall, owned: OwnedServers | None
    ) -> Placement | Refusal:
        demand = run.demand
        if run.summary.held_s:
            left_s = max(0.0, demand.objective_s - run.summary.held_s)
            demand = evolve(demand, objective_s=left_s)
        placement = self._dispatcher.place(
            demand, self._clock(), avoid=self._avoided(run), owned=owned
        )
        run.summary.wait_s, run.summary.use = placement.wait_s, placement.use
        return placement

    def return_unused(
        self,
        placement: Placement,
        outcome: SendOutcome | None = None,
        obstacle: Obstacle | None = None,
    ) -> None:
        if placement.grant is not None and self.owner_client is not None:
            self.owner_client.abandon(placement.grant, outcome, obstacle)

    def _avoided(self, run: ActiveCall) -> set[ServerName]:
        now = self._clock()
        registry = self._dispatcher.registry
        instances = (row.instance for row in registry.rows())
        avoided = run.avoid | run.suspects.trial_servers(instances, now)
        if run.moving:
            rows = registry.usable(run.demand.service)
            avoided |= self._dispatcher.servers.silent(rows, now)
        return avoided


def _lacks_servers(placement: Placement | Refusal) -> bool:
    """Return whether none of the servers that were looked at may take the call."""
    reasons = (RefusalReason.NO_SERVERS, RefusalReason.SERVERS_REST)
    return isinstance(placement, Refusal) and placement.reason in reasons

"""Routers of the policy lab, and the calls that wait at them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import define, field, frozen

from fulmarroad.types import RouterName, ServerName, WorkspaceName
from fulmarroad_bench._lab_engine import SimulatedCall
from fulmarroad_bench._lab_processor import Processor
from fulmarroad_serving import CallKind, Demand, Dispatcher, Placement, Refusal
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_messages import PlacementRequest
from fulmarroad_serving._owners import OwnedServers, OwnerTable
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving._spilling import Spiller

PickRouter = Callable[[SimulatedCall, int], int]
"""Return the index of the router for a call, given the number of routers."""


def pick_round_robin(call: SimulatedCall, routers: int) -> int:
    """Send calls to the routers in turn, and each retry to a different router."""
    return (call.number + 3 * call.retries) % routers


@frozen
class PickOfOwnCentre:
    """Send calls in turn to the routers of the caller's data centre.

    Routers are assigned to data centres in turn, by their index.
    """

    centres: int

    def __call__(self, call: SimulatedCall, routers: int) -> int:
        """Return the index of the router for a call."""
        own = range(call.centre, routers, self.centres)
        return own[pick_round_robin(call, len(own))]


class CountingDispatcher(Dispatcher):
    """Count the attempts to find a place, which use most of a router's processor."""

    attempts = 0

    def place(self, *args: Any, **kwargs: Any) -> Placement | Refusal:
        """Choose a server, or return the reason for a refusal."""
        self.attempts += 1
        return super().place(*args, **kwargs)


@define
class LabRouter:
    """Hold one router's decisions and its processor."""

    name: str
    dispatcher: CountingDispatcher
    granter: Granter | None = None  # None: each router places its own calls
    client: OwnerClient | None = None  # set if `granter` is
    owners: OwnerTable | None = None  # set if `granter` is
    spiller: Spiller | None = None  # set if `granter` is
    held: HeldCalls = field(factory=HeldCalls)
    processor: Processor | None = None  # None: work takes no time

    def work(self, seconds: float, now: float) -> float:
        """Add seconds of work for one core; return the time at which it is done."""
        return self.processor.work(seconds, now) if self.processor else now

    def own_room(self, service: ServiceName, now: float) -> int:
        """Return the prompt tokens that engines of this owner can begin soon."""
        if self.owners is None:
            return 0
        room = self.dispatcher.room(service, self.owners.owned(service).rows, now)
        self.dispatcher.rooms.note(self.name, room, now)
        return room

    def is_busy(self, demand: Demand, now: float) -> bool:
        """Return whether the overload guard refuses a stream."""
        if self.processor is None:
            return False
        used_share = self.dispatcher.use_of(demand, now).used_fraction
        return self.processor.guard.should_shed(CallKind.STREAM, used_share)


@define
class PendingCall:
    """Hold a call that waits at a router for an engine with capacity."""

    call: SimulatedCall
    demand: Demand
    router: LabRouter
    since: float
    avoid: set[ServerName] = field(factory=set)  # servers that failed it
    may_wait: bool = True
    owned: OwnedServers | None = None  # those of its router, if it owns the best ones
    asked: tuple[RouterName, PlacementRequest] | None = None  # while no reply came
    first_refusal: Refusal | None = None  # set once a second owner was asked
    is_spilling: bool = False  # while the second owner's reply is awaited

    def asked_again(self, server: ServerName, now: float) -> PendingCall:
        """Return the call to be placed once more, as a server failed it."""
        return PendingCall(
            self.call,
            self.demand,
            self.router,
            now,
            self.avoid | {server},
            False,
            first_refusal=self.first_refusal,
        )


@frozen
class RouterReport:
    """Hold what one router reports to the others."""

    sender: LabRouter
    loads: Mapping[ServerName, PeerLoad]
    counts: Mapping[WorkspaceName, WorkspaceCount]
    parts: Sequence[tuple[PartId, ServerName]]
    room: int = 0  # prompt tokens that engines of this owner can begin soon

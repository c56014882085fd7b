"""Hold the requests of other routers on which an owner of servers decides."""

from __future__ import annotations

from attrs import evolve, frozen

from fulmarroad.types import RouterName
from fulmarroad_serving._demands import Demand
from fulmarroad_serving._owner_messages import PlacementReply, PlacementRequest
from fulmarroad_serving._returns import Attempt
from fulmarroad_serving.admission import EntryKey, StartBound


@frozen
class AddressedReply:
    """Hold a reply and the router to which it is sent."""

    router: RouterName
    reply: PlacementReply


@frozen
class HeldRequest:
    """Hold a request and what its call may still use of its objective."""

    request: PlacementRequest
    attempt: Attempt
    since: float
    bound: StartBound | None = None  # set if it goes through the queue

    @property
    def may_wait(self) -> bool:
        """Return whether the call may wait for a place without the queue.

        A late one only may in its reserved window.
        """
        is_late = self.attempt.late_anyway and not self.attempt.reserved
        return self.request.may_wait and not is_late

    @property
    def is_return(self) -> bool:
        """Return whether its call returns after a refusal."""
        return self.attempt.first_at < self.since


def request_key(request: PlacementRequest) -> EntryKey:
    """Return what names a request in the whole fleet."""
    return (request.router, request.incarnation, request.number)


def after(demand: Demand, held_s: float) -> Demand:
    """Return a demand with what is left of its objective."""
    if not held_s:
        return demand
    return evolve(demand, objective_s=max(0.0, demand.objective_s - held_s))

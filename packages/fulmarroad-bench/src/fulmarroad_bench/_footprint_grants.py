"""Measure what a call costs that the owner of a server places, without sockets."""

from __future__ import annotations

from attrs import frozen

from fulmarroad_bench._processor_time import cpu_s
from fulmarroad_serving import (
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Service,
)
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_messages import (
    PlacementRequest,
    ProgressNote,
    ProgressReport,
    pack_progress,
    pack_reply,
    pack_request,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._owners import SERVERS_PER_OWNER, OwnerTable
from fulmarroad_serving._reports import unpack

CALLS = 2_000
SECONDS_PER_CALL = 0.01
SERVICE = "drafting"
OWNER, ROUTER = "owner", "router"


@frozen
class GrantCost:
    """Hold the cost of one granted call to its router and to the owner."""

    router_us: float
    owner_us: float
    request_bytes: int
    reply_bytes: int
    progress_bytes: int


def grant_cost() -> GrantCost:
    """Measure a request, its reply and two reports of progress, packed and read."""
    granter = _granter()
    router_s = owner_s = 0.0
    sizes = (0, 0, 0)
    for number in range(CALLS):
        now = 100.0 + number * SECONDS_PER_CALL
        demand = Demand(
            f"c{number}", SERVICE, "coop", 0.6, f"p{number % 300}", 100, 50, 50
        )
        started = cpu_s()
        request = pack_request(PlacementRequest(ROUTER, 1, number, demand))
        asked = cpu_s()
        reply = granter.receive_request(read_request(unpack(request)), now)
        answer = pack_reply(reply.reply)
        answered = cpu_s()
        read_reply(unpack(answer))
        begun = _progress(ProgressNote(number, True))
        ended = _progress(ProgressNote(number, True, True))
        sent = cpu_s()
        for packet in (begun, ended):
            granter.receive_progress(read_progress(unpack(packet)), now)
        done = cpu_s()
        router_s += asked - started + sent - answered
        owner_s += answered - asked + done - sent
        sizes = (len(request), len(answer), len(ended))
    return GrantCost(
        round(router_s / CALLS * 1e6, 1), round(owner_s / CALLS * 1e6, 1), *sizes
    )


def _progress(note: ProgressNote) -> bytes:
    return pack_progress(ProgressReport(ROUTER, 1, (note,)))


def _granter() -> Granter:
    dispatcher = Dispatcher(OWNER, "fes", FleetBounds(), 1)
    service = Service(SERVICE, engine=EngineProfile(128))
    dispatcher.set_catalog(Catalog(1, services={SERVICE: service}))
    for number in range(SERVERS_PER_OWNER):
        instance = Instance(f"e{number}", SERVICE, "10.0.0.1", 1, "fes", 128)
        dispatcher.registry.put(instance, 0.0)
    owners = OwnerTable(dispatcher.registry.usable, me=OWNER)
    owners.set_routers({OWNER: "fes"})
    return Granter(OWNER, 1, dispatcher, owners)

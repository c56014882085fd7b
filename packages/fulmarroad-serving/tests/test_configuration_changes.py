"""Changes of the configuration and of servers while calls are under way."""

import random
from collections import Counter

import anyio
import pytest
from attrs import define, evolve
from serving_bed import KEY, PLAIN, SHORT, make_catalog
from stream_callers import DEADLINE_S
from stream_fleet import (
    EVENT_S,
    EVENTS,
    FIRST_S,
    LONG_STREAM,
    STORE_S,
    StreamFleet,
    split_catalog,
)

from fulmarroad.testing import run_virtual
from fulmarroad_serving import (
    CallerLimits,
    KeyHolder,
    Service,
    Target,
    digest_key,
)
from fulmarroad_serving.contracts import CatalogFact

CALLS_PER_S = 45.0
"""More than the engines carry, so that calls are held and refused as well."""

CHANGE_EVERY_S = 0.7
LOAD_S = 6.0
READ_S = 0.4
"""Longest time in which a caller sends its body."""

STREAM_S = FIRST_S + EVENTS * EVENT_S

NOTHING, CUT, SERVED, REFUSED = "nothing", "cut", "served", "refused"

CALL_PATHS = ("/draft/1", "/draft/2", "/sms/1", "/look/1")
LOOK = evolve(PLAIN, targets=(Target("drafting"),), timeout_s=5.0, objective_s=0.6)
ONCE = evolve(SHORT, timeout_s=DEADLINE_S, objective_s=0.6)
ROUTES = (LONG_STREAM, ONCE, LOOK)


@define
class Call:
    """What the caller of one call got."""

    path: str
    status: int = 0
    whole: bool = False
    error: str = ""

    @property
    def end(self):
        if not self.status:
            return NOTHING
        if not self.whole:
            return CUT
        return SERVED if self.status == 200 else REFUSED


class ConfigurationFleet(StreamFleet):
    """A fleet whose callers make each call once and wait for its end."""

    def __init__(self, seed, **more):
        super().__init__(seed=seed, **more)
        self.random = random.Random(seed)
        self.calls = []
        self.catalog = make_catalog(routes=ROUTES)

    def change(self, **changes):
        self.catalog = evolve(self.catalog, version=self.catalog.version + 1, **changes)
        self.publish(CatalogFact(self.catalog))

    def change_routes(self, **changes):
        self.change(routes=tuple(evolve(row, **changes) for row in ROUTES))

    async def load(self, seconds):
        begun, end_at = 0, anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_at:
                begun += 1
                group.start_soon(self.call, begun, CALL_PATHS[begun % len(CALL_PATHS)])
                await anyio.sleep(self.random.expovariate(CALLS_PER_S))

    async def call(self, number, path):
        call = Call(path)
        self.calls.append(call)
        read_s = self.random.uniform(0.0, READ_S)
        headers = [
            (b"host", b"svc.example"),
            (b"x-id", b"c-%d" % number),
            (b"x-key", KEY),
            (b"x-part", b"part-%d" % (number % 7)),
            (b"x-deadline-ms", b"%d" % (DEADLINE_S * 1000)),
        ]
        scope = {
            "type": "http",
            "method": "POST",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        messages = iter([b"p"])

        async def receive():
            for body in messages:
                await anyio.sleep(read_s)
                return {"type": "http.request", "body": body, "more_body": False}
            return await anyio.sleep_forever()

        async def send(message):
            if message["type"] == "http.response.start":
                call.status = message["status"]
            else:
                call.whole = not message.get("more_body", False)

        try:
            await self.pick(number, 0).app(scope, receive, send)
        except Exception as error:
            call.error = repr(error)

    def ends(self):
        return Counter(row.end for row in self.calls)


def drop_route(fleet, number):
    fleet.change(routes=ROUTES[1:] if number % 2 else ROUTES)


def drop_every_route(fleet, number):
    fleet.change(routes=() if number % 2 else ROUTES)


def drop_service(fleet, number):
    services = make_catalog().services
    kept = {name: row for name, row in services.items() if name != "drafting"}
    fleet.change(services=kept if number % 2 else services)


def change_target(fleet, number):
    fleet.change(services=split_catalog()["services"])
    target = "drafting-b" if number % 2 else "drafting"
    fleet.change_routes(targets=(Target(target),))


def change_weights(fleet, number):
    fleet.change(services=split_catalog()["services"])
    weight = fleet.random.uniform(0.0, 100.0)
    targets = (Target("drafting", weight), Target("drafting-b", 100.0 - weight))
    fleet.change_routes(targets=targets)


def lower_timeout(fleet, number):
    fleet.change_routes(timeout_s=2 * STREAM_S if number % 2 else DEADLINE_S)


def change_objective(fleet, number):
    fleet.change_routes(objective_s=0.05 if number % 2 else 0.6)


def lower_connections(fleet, number):
    row = fleet.catalog.services["drafting"]
    row = evolve(row, max_connections=4 if number % 2 else 600)
    fleet.change(services={**fleet.catalog.services, "drafting": row})


def lower_attempts(fleet, number):
    fleet.change_routes(max_attempts=1 + number % 2)


def forbid_resumption(fleet, number):
    fleet.change_routes(resumable=bool(number % 2))


def withdraw_key(fleet, number):
    other = KeyHolder("other", (digest_key(b"other"),))
    fleet.change(holders=(other,) if number % 2 else make_catalog().holders)


def lower_limits(fleet, number):
    limits = CallerLimits(body_bytes=0, header_bytes=10)
    fleet.change(limits=limits if number % 2 else CallerLimits())


def remove_engine(fleet, number):
    """Replace an engine by one of a new version, and let it leave by plan."""
    fleet.add_engine(f"new-{number}", f"v{number + 2}")
    leaving = [row for row in fleet.engines.values() if not row.leaving]
    fleet.drain(leaving[0].name)


def change_routers(fleet, number):
    """Take a router out of the list and back, so that servers change their owners."""
    router = fleet.routers[f"router-{number // 2 % fleet.size}"]
    router.leaving = not router.leaving
    fleet.update_membership()


def add_routes(fleet, number):
    rows = [
        evolve(SHORT, name=f"more-{row}", path_prefix=f"/more-{number}-{row}/")
        for row in range(350)
    ]
    services = {f"more-{row}": Service(f"more-{row}") for row in range(50)}
    fleet.change(
        routes=(*ROUTES, *rows), services={**fleet.catalog.services, **services}
    )


CHANGES = [
    drop_route,
    drop_every_route,
    drop_service,
    change_target,
    change_weights,
    lower_timeout,
    change_objective,
    lower_connections,
    lower_attempts,
    forbid_resumption,
    withdraw_key,
    lower_limits,
    remove_engine,
    change_routers,
    add_routes,
]


class TestChanges:
    """Each call that was read ends with a whole answer or a refusal."""

    @pytest.mark.parametrize("change", CHANGES, ids=lambda row: row.__name__)
    def test_calls_are_answered_or_refused(self, change):
        """Guard against calls that end with nothing, or with a part of an answer,
        since the configuration changed while they were read, held, placed or sent.
        """

        async def test(fleet):
            for number in range(3):
                fleet.add_engine(f"e-{number}", "v1")
                fleet.add_engine(f"b-{number}", "v1", "drafting-b")
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.load, LOAD_S)
                for number in range(1, int(LOAD_S / CHANGE_EVERY_S)):
                    await anyio.sleep(CHANGE_EVERY_S)
                    change(fleet, number)
            ends = fleet.ends()
            assert (ends[NOTHING], ends[CUT]) == (0, 0)
            assert ends[SERVED] > ends[REFUSED] / 2
            assert not [row for row in fleet.calls if row.status in (500, 502, 504)]

        run_virtual(ConfigurationFleet(seed=5).run, test)

    def test_a_running_call_keeps_its_timeout(self):
        """Guard against a lower timeout that cuts off calls read before it."""

        async def test(fleet):
            fleet.add_engine("e-0", "v1")
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.call, 1, "/draft/1")
                await anyio.sleep(READ_S)
                fleet.change_routes(timeout_s=STREAM_S / 4)
                await anyio.sleep(2 * STORE_S)
                group.start_soon(fleet.call, 2, "/draft/2")
            ends = [row.end for row in fleet.calls]
            assert ends[0] == SERVED
            assert ends[1] != SERVED

        run_virtual(ConfigurationFleet(seed=1).run, test)

    def test_streams_end_at_the_last_server_of_their_version(self):
        """Guard against streams that are cut as the last server of the version to which
        they are bound announces that it leaves.
        """

        async def test(fleet):
            fleet.add_engine("e-0", "v1")
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as group:
                for number in range(8):
                    group.start_soon(fleet.call, number, "/draft/1")
                await anyio.sleep(READ_S + 2 * FIRST_S)
                fleet.add_engine("e-1", "v2")
                fleet.drain("e-0")
            assert {row.end for row in fleet.calls} == {SERVED}

        run_virtual(ConfigurationFleet(seed=1).run, test)

"""Measure tables, membership, keys, audit trail and admission of a router."""

from __future__ import annotations

import hashlib
from collections import deque

from fulmarroad.admission import Admission, LoadView
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.keys import KeyLimits, KeyStore
from fulmarroad.membership import PacketSeal, Swim
from fulmarroad.messages import (
    KeyFinish,
    KeyStart,
    MembersGiven,
    MemberUpdate,
    encode,
)
from fulmarroad.tables import (
    Manifest,
    Route,
    RouteIndex,
    TableName,
    Tables,
    TableStore,
    Workspace,
    build_manifest,
)
from fulmarroad.types import MemberState
from fulmarroad_bench._slopes import (
    REPEATS,
    Slope,
    allocated_bytes,
    best_us,
    fit,
    measure,
)

TABLE_SIZES = (100, 200, 400)
SERVER_SIZES = (100, 200, 400)
ROUTE_SIZES = (50, 100, 200)
MEMBER_SIZES = (46, 92, 138)
CHANGE_SIZES = (630, 1260, 1890)
KEY_SIZES = (100, 200, 400)
AUDIT_SIZES = (500, 1000, 2000)
WAITING_SIZES = (100, 250, 500)
LOOKUPS = 2000

SETTLE_PERIODS = 2
PROBE_PERIODS = 3
TICK_S = 0.1
"""Ten ticks in each probe period of one second, as in the gossip task."""

UDP_OVERHEAD_BYTES = 28
CENTRES = 12
PARTS = 63
"""Number of parts of the routes table; one more part holds the pools."""


def slopes() -> list[Slope]:
    """Return every slope of this module."""
    return [
        *table_slopes(),
        *index_slopes(),
        *swim_slopes(),
        *key_slopes(),
        *audit_slopes(),
        *admission_slopes(),
    ]


def workspace_name(index: int) -> str:
    """Return a workspace name of 16 characters."""
    return f"workspace-{index:06d}"


def _key(index: int) -> str:
    return f"key-{index}"


def _sha(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _routes_text(workspaces: int, routes: int, first: int = 0) -> bytes:
    rows = [
        f'[[workspace]]\nname = "{workspace_name(n)}"\nkey_sha256 = ["{_sha(_key(n))}"]'
        for n in range(first, first + workspaces)
    ]
    rows += [
        f'[[route]]\nname = "route-{n:04d}"\npath = "/v1/path-{n:04d}"\npool = "model"'
        for n in range(routes)
    ]
    return "\n".join(rows).encode()


def _pools_text(servers: int) -> bytes:
    rows = ['[[data_centre]]\nname = "region-1-dc-1"\n[[pool]]\nname = "model"']
    rows += [
        f'[[pool.server]]\nname = "model-server-{n:04d}"\n'
        f'address = "10.0.{n // 250}.{n % 250 + 1}:8000"\n'
        'data_centre = "region-1-dc-1"'
        for n in range(servers)
    ]
    return "\n".join(rows).encode()


def build_store(workspaces: int = 1, servers: int = 1, routes: int = 1) -> TableStore:
    """Return a table store whose tables in force have these sizes."""
    contents = {
        (TableName.ROUTES, "routes-1"): _routes_text(workspaces, routes),
        (TableName.POOLS, "pools-1"): _pools_text(servers),
    }
    manifest = build_manifest(1, contents)
    parts = {p.sha256: contents[p.table, p.name] for p in manifest.parts}
    store = TableStore()
    result = store.offer(manifest, parts, "service")
    if not result.accepted:
        raise ValueError(f"The generated tables were rejected: {result.problems}")
    return store


def table_slopes() -> list[Slope]:
    """Return memory and time of the table store per workspace, server and route.

    The memory is all that a router holds of its tables: the parts as read, validated
    rows, tables and lookup indexes.
    """
    out = []
    for per, sizes in (
        ("workspace", TABLE_SIZES),
        ("server", SERVER_SIZES),
        ("route", ROUTE_SIZES),
    ):

        def build(size: int, per: str = per) -> TableStore:
            return build_store(**{f"{per}s": size})

        out.append(
            measure(
                f"tables_bytes_{per}",
                per,
                "B",
                sizes,
                lambda size: allocated_bytes(lambda: build(size)),
            )
        )
        out.append(
            measure(
                f"tables_offer_us_{per}",
                per,
                "us",
                sizes,
                lambda size: best_us(lambda: build(size)),
            )
        )
    out.append(
        measure(
            "table_text_bytes",
            "workspace",
            "B",
            TABLE_SIZES,
            lambda size: len(_routes_text(size, 0)),
        )
    )
    out.append(measure("tables_change_us", "workspace", "us", CHANGE_SIZES, _change_us))
    out.append(measure("manifest_bytes", "part", "B", (16, 32, 64), _manifest_bytes))
    return out


def _manifest_bytes(parts: int) -> float:
    contents = {(TableName.ROUTES, f"routes-{n:02d}"): b"x" for n in range(parts)}
    return len(build_manifest(123456, contents).raw)


def _version(number: int, workspaces: int) -> tuple[Manifest, dict[str, bytes]]:
    """Return a version of tables in parts; each version changes only the first part."""
    each = workspaces // PARTS
    contents = {
        (TableName.ROUTES, f"routes-{n}"): _routes_text(each, 0, first=n * each)
        for n in range(PARTS)
    }
    contents[TableName.ROUTES, "routes-0"] += f"\n# {number}".encode()
    contents[TableName.POOLS, "pools-1"] = _pools_text(1)
    manifest = build_manifest(number, contents)
    return manifest, {p.sha256: contents[p.table, p.name] for p in manifest.parts}


def _change_us(workspaces: int) -> float:
    """Return the time to accept a version that changes one of 64 parts, in us."""
    store = TableStore()
    offers = [_version(number, workspaces) for number in range(1, REPEATS + 2)]
    store.offer(*offers[0], "service")
    remaining = iter(offers[1:])
    spent = best_us(lambda: store.offer(*next(remaining), "service"))
    if store.version != REPEATS + 1:
        raise ValueError("A generated table version was rejected.")
    return spent


def _tables(workspaces: int) -> Tables:
    rows = {
        name: Workspace(name, key_sha256=(_sha(_key(n)),))
        for n, name in enumerate(map(workspace_name, range(workspaces)))
    }
    route = Route("chat", "/v1/chat/completions", "model")
    return Tables(1, rows, {"chat": route}, {}, {})


def index_slopes() -> list[Slope]:
    """Return memory of the lookup index, and the time of the two lookups of a call."""

    def lookup_us(size: int) -> float:
        index = RouteIndex(_tables(size))

        def run() -> None:
            for n in range(LOOKUPS):
                index.workspace_for_key(_key(n % size))
                index.route_for("POST", "/v1/chat/completions", "model", "w")

        return best_us(run, LOOKUPS)

    def index_bytes(size: int) -> float:
        tables = _tables(size)
        return allocated_bytes(lambda: RouteIndex(tables))

    return [
        measure("index_bytes_workspace", "workspace", "B", TABLE_SIZES, index_bytes),
        measure("lookup_us_workspace", "workspace", "us", TABLE_SIZES, lookup_us),
    ]


def _member(index: int) -> MemberUpdate:
    return MemberUpdate(
        f"entry-vm-{index:06d}",
        1_800_000_000_000 + index,
        MemberState.ALIVE,
        f"region-{index % 3}-dc-{index % CENTRES:02d}",
        f"10.1.{index // 250}.{index % 250 + 1}",
        7000,
        7001,
    )


def build_swim(index: int, members: int) -> Swim:
    """Return a member that knows all other members, as after joining."""
    swim = Swim(_member(index), seed=index, now=0.0)
    others = tuple(_member(n) for n in range(members) if n != index)
    page = MembersGiven(0, others[0].router, 0, others, others[-1].router)
    swim.handle(page, 0.0)
    swim.changes()
    return swim


def run_probes(members: int) -> tuple[int, int, float]:
    """Return packets, bytes and microseconds of `PROBE_PERIODS` probe periods.

    They are totals of all members while membership doesn't change; packets are sealed
    and opened as on the wire. The time is the fastest period's, times the periods.
    """
    fleet = {_member(n).router: build_swim(n, members) for n in range(members)}
    seal = PacketSeal(b"s" * 32)
    count = [0, 0]

    def second(first_tick: int) -> None:
        for tick in range(first_tick, first_tick + 10):
            now = tick * TICK_S
            pending = deque(row for swim in fleet.values() for row in swim.tick(now))
            while pending:
                row = pending.popleft()
                packet = seal.seal(row.message)
                count[0] += 1
                count[1] += len(packet) + UDP_OVERHEAD_BYTES
                pending.extend(fleet[row.router].handle(seal.open(packet), now))

    # In the first periods, each member also announces itself to the others.
    for period in range(SETTLE_PERIODS):
        second(10 * period)
    count[:] = [0, 0]
    periods = iter(range(SETTLE_PERIODS, SETTLE_PERIODS + PROBE_PERIODS))
    fastest = best_us(lambda: second(10 * next(periods)), repeats=PROBE_PERIODS)
    return count[0], count[1], fastest * PROBE_PERIODS


def swim_slopes() -> list[Slope]:
    """Return memory per member, and packets, bytes and time per probe period."""
    packets, traffic, times = [], [], []
    for members in MEMBER_SIZES:
        sent, total, spent_us = run_probes(members)
        each = members * PROBE_PERIODS
        packets.append(sent / each)
        traffic.append(total / each)
        times.append(spent_us / each)
    update = len(encode(MembersGiven(0, "r", 0, (_member(0), _member(1)))))
    update -= len(encode(MembersGiven(0, "r", 0, (_member(0),))))
    return [
        measure(
            "member_bytes",
            "member",
            "B",
            MEMBER_SIZES,
            lambda size: allocated_bytes(lambda: build_swim(0, size)),
        ),
        measure("update_bytes", "update", "B", (1, 2, 4), lambda size: size * update),
        fit("probe_packets_period", "member", "packets", MEMBER_SIZES, packets),
        fit("probe_bytes_period", "member", "B", MEMBER_SIZES, traffic),
        fit("probe_us_period", "member", "us", MEMBER_SIZES, times),
    ]


def _key_start(index: int) -> KeyStart:
    return KeyStart(
        workspace_name(index % 97),
        f"idempotency-key-{index:08d}-0123456789ab",
        f"entry-vm-000001.1800000000000.{index}",
        _sha("body"),
        0,
        ("entry-vm-000001", "entry-vm-000002", "entry-vm-000003"),
    )


def _key_finish(index: int) -> KeyFinish:
    start = _key_start(index)
    headers = (("content-type", "application/json"),)
    return KeyFinish(start.workspace, start.key, start.attempt, 200, headers, b"{}")


def build_keys(count: int) -> KeyStore:
    """Return the key store of a group member with `count` finished keys."""
    vms = ("entry-vm-000001", "entry-vm-000002", "entry-vm-000003")
    limits = KeyLimits(max_per_workspace=count)
    store = KeyStore(vms[0], "dc", limits, now=0.0, first_fleet=True)
    store.set_vms(vms, 0.0)
    for index in range(count):
        store.start(_key_start(index), 1.0)
        store.finish(_key_finish(index), 2.0)
    if len(store) != count:
        raise ValueError(f"Only {len(store)} of {count} keys were recorded.")
    return store


def key_slopes() -> list[Slope]:
    """Return memory and time per key at a group member, without the stored answer."""
    return [
        measure(
            "key_bytes",
            "key",
            "B",
            KEY_SIZES,
            lambda size: allocated_bytes(lambda: build_keys(size)),
        ),
        measure(
            "key_us", "key", "us", KEY_SIZES, lambda n: best_us(lambda: build_keys(n))
        ),
        measure("key_wire_bytes", "key", "B", (1, 2, 4), _key_wire_bytes),
    ]


def _key_wire_bytes(count: int) -> int:
    """Return the bytes of requests to one group member and its replies."""
    vms = ("entry-vm-000001", "entry-vm-000002", "entry-vm-000003")
    store = KeyStore(vms[0], "dc", KeyLimits(), now=0.0, first_fleet=True)
    store.set_vms(vms, 0.0)
    total = 0
    for index in range(count):
        start, finish = _key_start(index), _key_finish(index)
        total += len(encode(start)) + len(encode(store.start(start, 1.0)))
        total += len(encode(finish)) + len(encode(store.finish(finish, 2.0)))
    return total


def build_trail(count: int) -> AuditTrail:
    """Return an audit trail with `count` records."""
    trail = AuditTrail(clock=lambda: 1.8e9)
    for index in range(count):
        trail.record(
            Subject.MEMBER,
            f"entry-vm-{index:06d}",
            before="alive",
            after="suspect",
            cause="no answer to probes",
        )
    return trail


def audit_slopes() -> list[Slope]:
    """Return memory and time per audit record."""
    return [
        measure(
            "audit_bytes",
            "record",
            "B",
            AUDIT_SIZES,
            lambda size: allocated_bytes(lambda: build_trail(size)),
        ),
        measure(
            "audit_us",
            "record",
            "us",
            AUDIT_SIZES,
            lambda size: best_us(lambda: build_trail(size)),
        ),
    ]


def build_admission(count: int) -> Admission:
    """Return an admission with `count` waiting requests, one per workspace."""
    admission = Admission(max_waiting=4 * count)
    route = Route("chat", "/v1/chat/completions", "model")
    for index in range(count):
        view = LoadView("model", 1.0, 8)
        workspace = Workspace(workspace_name(index))
        admission.admit(f"request-{index:012d}", workspace, route, view, 0.0)
    return admission


def admission_slopes() -> list[Slope]:
    """Return memory per waiting request, and the time to admit it to the queue."""
    return [
        measure(
            "admission_bytes",
            "waiting request",
            "B",
            WAITING_SIZES,
            lambda size: allocated_bytes(lambda: build_admission(size)),
        ),
        measure(
            "admission_us",
            "waiting request",
            "us",
            WAITING_SIZES,
            lambda size: best_us(lambda: build_admission(size)),
        ),
    ]

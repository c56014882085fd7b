"""Changes of configuration, keys, servers and data centres that arrive in any order."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarroad.audit import AuditTrail
from fulmarroad_serving import (
    Catalog,
    Dispatcher,
    FleetBounds,
    Instance,
    KeyHolder,
    Registry,
    ReplicaItem,
    Service,
    digest_key,
)
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import LAPSE_GRACE_S
from fulmarroad_serving._restarts import SUSPECT_S, Contact
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import (
    CatalogFact,
    CentreFact,
    InstanceFact,
    InstanceRemovedFact,
)

SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
ROUTERS = st.sampled_from(["a", "b", "c"])
KEYS = st.sampled_from(["k1", "k2", "k3"])
SERVERS = st.sampled_from(["s1", "s2", "s3"])
CENTRES = st.sampled_from(["fes", "rabat"])
SERVICE = {"drafting": Service("drafting")}


class Decoder:
    """Decode items as the state machine writes them."""

    def decode(self, item):
        kind, _, name = item.key.partition("/")
        value = None if item.data is None else json.loads(item.data)
        if kind == "config":
            keys = tuple(digest_key(key.encode()) for key in value["keys"])
            holders = (KeyHolder("coop", keys),)
            return CatalogFact(
                Catalog(value["version"], services=SERVICE, holders=holders)
            )
        if kind == "left":
            return CentreFact(name, value is not None)
        if value is None:
            return InstanceRemovedFact(name)
        return InstanceFact(
            Instance(
                name,
                "drafting",
                "127.0.0.1",
                value["port"],
                "fes",
                8,
                draining=value["draining"],
                started_ms=value["started"],
            )
        )


class AnyChangeOrder(RuleBasedStateMachine):
    """Write changes and deliver them to routers in any order.

    A router may list, watch, or pull from another router that is far behind. It must
    never go back to an older version, accept a revoked key again or use a removed
    server.
    """

    def __init__(self):
        super().__init__()
        self.at = 1
        self.version = 0
        self.started = 0
        self.keys = set()
        self.live = {}
        self.log = []
        self.routers = {}
        self.seen = dict.fromkeys("abc", 0)
        for name in "abc":
            dispatcher = Dispatcher(name, "fes", FleetBounds())
            pool = ConnectionPool(lambda: 0.0)
            beliefs = RouterState(
                Decoder(), dispatcher, pool, AuditTrail(), lambda: 0.0
            )
            self.routers[name] = (beliefs, dispatcher)

    def write(self, key, value):
        self.at += 1
        data = None if value is None else json.dumps(value).encode()
        item = ReplicaItem(key, self.at, data)
        self.log.append(item)
        if data is None:
            self.live.pop(key, None)
        else:
            self.live[key] = item

    @rule(keys=st.sets(KEYS))
    def operators_write_a_version(self, keys):
        self.version += 1
        self.keys = keys
        value = {"version": self.version, "keys": sorted(keys)}
        self.write("config/", value)

    @rule(server=SERVERS, draining=st.booleans())
    def a_server_writes_its_entry(self, server, draining):
        self.started += 1
        value = {"port": 9000, "draining": draining, "started": self.started}
        self.write(f"server/{server}", value)

    @rule(server=SERVERS)
    def a_server_leaves(self, server):
        if f"server/{server}" in self.live:
            self.write(f"server/{server}", None)

    @rule(centre=CENTRES, leaves=st.booleans())
    def operators_exclude_or_include_a_data_centre(self, centre, leaves):
        if leaves or f"left/{centre}" in self.live:
            self.write(f"left/{centre}", {} if leaves else None)

    @rule(router=ROUTERS)
    def a_router_lists(self, router):
        beliefs, _ = self.routers[router]
        beliefs.apply_listing(tuple(self.live.values()), self.at, 60.0, "store")

    @precondition(lambda self: len(self.log) > 0)
    @rule(router=ROUTERS, data=st.data())
    def a_router_watches(self, router, data):
        beliefs, _ = self.routers[router]
        if beliefs.replica.known:
            upto = data.draw(st.integers(0, len(self.log)))
            changed = [
                row for row in self.log[:upto] if row.revision > beliefs.replica.at
            ]
            at = max((row.revision for row in changed), default=beliefs.replica.at)
            beliefs.apply_changes(changed, at, 60.0, "store")

    @rule(router=ROUTERS, other=ROUTERS)
    def a_router_pulls_from_another(self, router, other):
        beliefs, _ = self.routers[router]
        theirs, _ = self.routers[other]
        if router != other:
            delta = theirs.replica.since(beliefs.replica.at)
            beliefs.apply_delta(delta, 60.0, other)

    @precondition(lambda self: len(self.log) > 0)
    @rule(router=ROUTERS, data=st.data())
    def an_old_item_arrives_late(self, router, data):
        beliefs, _ = self.routers[router]
        item = data.draw(st.sampled_from(self.log))
        if beliefs.replica.known and item.revision <= beliefs.replica.at:
            beliefs.apply_changes([item], 0, 60.0, "peer")

    def state_at(self, at):
        state = {}
        for item in self.log:
            if item.revision <= at:
                state[item.key] = item.data
        return {key: json.loads(data) for key, data in state.items() if data}

    @invariant()
    def versions_never_go_back(self):
        for name, (beliefs, _) in self.routers.items():
            assert beliefs.catalog.version >= self.seen[name]
            self.seen[name] = beliefs.catalog.version

    @invariant()
    def router_state_matches_the_store_at_one_revision(self):
        for beliefs, dispatcher in self.routers.values():
            if not beliefs.replica.known:
                continue
            state = self.state_at(beliefs.replica.at)
            config = state.get("config/", {"version": 0, "keys": []})
            assert beliefs.catalog.version == config["version"]
            taken = {
                key
                for key in ("k1", "k2", "k3")
                if beliefs.index and beliefs.index.holder_of(key.encode())
            }
            assert taken == set(config["keys"])
            left = {key.split("/")[1] for key in state if key.startswith("left/")}
            assert dispatcher.registry.centres_left == left
            rows = {
                row.instance.id: (row.instance.started_ms, row.instance.draining)
                for row in dispatcher.registry.rows()
            }
            assert rows == {
                key.split("/")[1]: (value["started"], value["draining"])
                for key, value in state.items()
                if key.startswith("server/")
            }


class AnyServerLifecycle(RuleBasedStateMachine):
    """Start, drain, remove and restart servers whose entries may expire and return.

    Ports are reused by other servers. A router must not use a server that is draining
    or removed, nor treat one as warm too early.
    """

    def __init__(self):
        super().__init__()
        self.registry = Registry()
        self.now = 100.0
        self.started = 0
        self.alive = {}
        self.removal_due = {}
        self.cold_until = {}

    def put(self, server, draining, warmup_s):
        instance = Instance(
            server,
            "drafting",
            "127.0.0.1",
            9000 + len(self.alive),
            "fes",
            8,
            draining=draining,
            warmup_left_s=warmup_s,
            started_ms=self.alive[server],
        )
        is_new_run = self.registry.put(instance, self.now)
        self.cold_until[server] = self.now + warmup_s
        self.removal_due.pop(server, None)
        return is_new_run

    @rule(server=SERVERS, warmup_s=st.floats(0.0, 5.0))
    def a_server_starts(self, server, warmup_s):
        """Start a server, perhaps under a used id; the new run inherits no state."""
        self.started += 1
        self.alive[server] = self.started
        assert self.put(server, False, warmup_s)

    @rule(server=SERVERS, draining=st.booleans(), warmup_s=st.floats(0.0, 5.0))
    def a_server_writes_again(self, server, draining, warmup_s):
        if server in self.alive and self.registry.get(server) is not None:
            before = self.registry.get(server).instance.draining
            assert not self.put(server, draining or before, warmup_s)

    @rule(server=SERVERS, failure_age_s=st.floats(0.0, 4.0))
    def an_entry_is_removed(self, server, failure_age_s):
        row = self.registry.get(server)
        if row is None:
            return
        if self.registry.remove(server, self.now, store_failure_age_s=failure_age_s):
            assert self.registry.get(server) is None
        else:
            assert not row.instance.draining
            assert failure_age_s < LAPSE_GRACE_S
            self.removal_due[server] = self.now + LAPSE_GRACE_S

    @rule(server=SERVERS)
    def a_connection_breaks(self, server):
        self.registry.suspect(server, Contact(0.0, self.now), self.now)
        if self.registry.get(server) is not None:
            assert self.registry.get(server).cold(self.now + SUSPECT_S - 0.01)

    @rule(server=SERVERS, left_s=st.floats(0.0, 5.0))
    def a_server_reports_that_it_is_cold(self, server, left_s):
        self.registry.mark_cold(server, left_s, self.now)
        if self.registry.get(server) is not None:
            until = max(self.cold_until[server], self.now + left_s)
            self.cold_until[server] = until

    @rule(seconds=st.floats(0.05, 3.0))
    def time_passes(self, seconds):
        self.now += seconds
        self.registry.expire(self.now)

    @invariant()
    def no_draining_server_is_used(self):
        for row in self.registry.usable("drafting"):
            assert not row.instance.draining

    @invariant()
    def no_server_is_kept_after_the_grace_period(self):
        for server, by in self.removal_due.items():
            if self.now >= by:
                assert self.registry.get(server) is None

    @invariant()
    def no_server_is_warm_before_its_time(self):
        for row in self.registry.rows():
            if self.now < self.cold_until[row.instance.id]:
                assert row.cold(self.now)

    @invariant()
    def only_the_newest_run_is_known(self):
        for row in self.registry.rows():
            assert row.instance.started_ms == self.alive[row.instance.id]


TestAnyChangeOrder = AnyChangeOrder.TestCase
TestAnyChangeOrder.settings = SETTINGS
TestAnyServerLifecycle = AnyServerLifecycle.TestCase
TestAnyServerLifecycle.settings = SETTINGS

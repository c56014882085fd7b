"""Random exchanges between table stores: the version in force never reverts."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarroad.messages import TablesGiven
from fulmarroad.tables import (
    TableName,
    TableStore,
    Verdict,
    build_manifest,
    parse_manifest,
)

NODES = st.integers(0, 3)
VERSIONS = st.integers(1, 6)


def published(version, *, variant=0, good=True):
    """Return a version; its workspaces part changes with each one, the rest never."""
    weight = 1 if good else -1
    routes = f'[[workspace]]\nname = "w{version}-{variant}"\nweight = {weight}\n'
    contents = {
        (TableName.ROUTES, "workspaces"): routes.encode(),
        (TableName.POOLS, "pools"): b'[[data_centre]]\nname = "north"\n',
    }
    manifest = build_manifest(version, contents)
    parts = {row.sha256: contents[row.table, row.name] for row in manifest.parts}
    return manifest, parts


class TableExchange(RuleBasedStateMachine):
    """
    Routers read a service that may be stale, and exchange tables by messages that are
    lost, late, doubled or damaged, while some restart with no memory. Were a version
    to fall at one of them, callers there would meet rules that operators withdrew.
    """

    def __init__(self):
        super().__init__()
        self.stores = [TableStore() for _ in range(4)]
        self.highest = [0] * 4  # the highest version in force since the last restart
        self.content = [None] * 4
        self.in_flight = []

    @rule(node=NODES, version=VERSIONS, variant=st.integers(0, 1), good=st.booleans())
    def read_service(self, node, version, variant, good):
        manifest, parts = published(version, variant=variant, good=good)
        answer = self.stores[node].offer(manifest, parts, "service")
        assert answer.accepted == (good and version > answer.before)

    @rule(asker=NODES, giver=NODES)
    def ask(self, asker, giver):
        self.in_flight.append((asker, self.stores[giver].give(self.wanted(asker))))

    @rule(data=st.data(), twice=st.booleans())
    def deliver(self, data, twice):
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        asker, given = self.in_flight[index]
        if not twice:
            del self.in_flight[index]
        self.take(asker, given)

    @rule(data=st.data())
    def damage(self, data):
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        asker, given = self.in_flight[index]
        parts = {sha: raw[::-1] for sha, raw in given.parts.items()}
        self.in_flight[index] = (
            asker,
            TablesGiven(given.version, given.manifest, parts),
        )

    @rule()
    def lose(self):
        del self.in_flight[:1]

    @rule(node=NODES, peer=NODES)
    def restart(self, node, peer):
        """Forget everything, then ask a peer that is up before serving."""
        if node == peer:
            return
        self.stores[node] = TableStore()
        self.highest[node] = 0
        self.content[node] = None
        given = self.stores[peer].give(self.wanted(node))
        self.take(node, given)
        assert self.stores[node].version == self.stores[peer].version

    def wanted(self, node):
        return self.stores[node].wanted()

    def take(self, node, given):
        if given.manifest:
            manifest = parse_manifest(given.manifest)
            answer = self.stores[node].offer(manifest, given.parts, "peer")
            assert answer.verdict is not Verdict.INVALID

    @invariant()
    def never_reverts(self):
        for node, store in enumerate(self.stores):
            assert store.version >= self.highest[node]
            tables = store.in_force
            if store.version == self.highest[node] and self.content[node] is not None:
                assert tables is self.content[node]
            self.highest[node] = store.version
            self.content[node] = tables

    @invariant()
    def holds_what_the_manifest_names(self):
        for store in self.stores:
            if store.manifest is not None:
                assert set(store.known) == store.manifest.hashes
                assert store.in_force.version == store.manifest.version


TestTableExchange = TableExchange.TestCase
TestTableExchange.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)

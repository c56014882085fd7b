"""Stateful test of table stores: the version in force never decreases."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarroad.messages import TablesReply
from fulmarroad.tables import (
    TableName,
    TableStore,
    Verdict,
    build_manifest,
    parse_manifest,
)

NODES = st.integers(0, 3)
VERSIONS = st.integers(1, 6)


def build_version(version, *, variant=0, good=True):
    """Return a manifest and its parts; only the workspaces part differs by version."""
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
    Guard against a router that returns to an older version and so applies rules that
    operators have withdrawn. Routers read a service that may be stale and exchange
    tables in messages that are lost, delayed, duplicated or damaged, while some routers
    restart without any tables.
    """

    def __init__(self):
        super().__init__()
        self.stores = [TableStore() for _ in range(4)]
        self.highest = [0] * 4  # the highest version in force since the last restart
        self.content = [None] * 4
        self.in_flight = []

    @rule(node=NODES, version=VERSIONS, variant=st.integers(0, 1), good=st.booleans())
    def read_service(self, node, version, variant, good):
        manifest, parts = build_version(version, variant=variant, good=good)
        result = self.stores[node].offer(manifest, parts, "service")
        assert result.accepted == (good and version > result.before)

    @rule(asker=NODES, peer=NODES)
    def ask_peer(self, asker, peer):
        self.in_flight.append(
            (asker, self.stores[peer].make_reply(self.make_request(asker)))
        )

    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_message(self, data, duplicate):
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        asker, reply = self.in_flight[index]
        if not duplicate:
            del self.in_flight[index]
        self.receive(asker, reply)

    @rule(data=st.data())
    def damage_message(self, data):
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        asker, reply = self.in_flight[index]
        parts = {sha: raw[::-1] for sha, raw in reply.parts.items()}
        self.in_flight[index] = (
            asker,
            TablesReply(reply.version, reply.manifest, parts),
        )

    @rule()
    def lose_message(self):
        del self.in_flight[:1]

    @rule(node=NODES, peer=NODES)
    def restart(self, node, peer):
        """Drop all tables, then fetch them from a running peer before serving."""
        if node == peer:
            return
        self.stores[node] = TableStore()
        self.highest[node] = 0
        self.content[node] = None
        reply = self.stores[peer].make_reply(self.make_request(node))
        self.receive(node, reply)
        assert self.stores[node].version == self.stores[peer].version

    def make_request(self, node):
        return self.stores[node].make_request()

    def receive(self, node, reply):
        if reply.manifest:
            manifest = parse_manifest(reply.manifest)
            result = self.stores[node].offer(manifest, reply.parts, "peer")
            assert result.verdict is not Verdict.INVALID

    @invariant()
    def version_never_decreases(self):
        for node, store in enumerate(self.stores):
            assert store.version >= self.highest[node]
            tables = store.in_force
            if store.version == self.highest[node] and self.content[node] is not None:
                assert tables is self.content[node]
            self.highest[node] = store.version
            self.content[node] = tables

    @invariant()
    def holds_exactly_the_parts_of_the_manifest(self):
        for store in self.stores:
            if store.manifest is not None:
                assert set(store.known) == store.manifest.hashes
                assert store.in_force.version == store.manifest.version


TestTableExchange = TableExchange.TestCase
TestTableExchange.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)

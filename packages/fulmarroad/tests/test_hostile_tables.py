"""Fuzz tests: hostile or corrupted tables give valid tables or a clear error."""

from __future__ import annotations

import pytest
import tomli_w
from attrs import fields
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fulmarroad._table_rows import (
    DATA_CENTRE_CHECKS,
    POOL_CHECKS,
    ROUTE_CHECKS,
    SERVER_CHECKS,
    WORKSPACE_CHECKS,
)
from fulmarroad.configuration import parse_vm_list
from fulmarroad.exceptions import ConfigurationError
from fulmarroad.tables import (
    BackendServer,
    DataCentre,
    Pool,
    Route,
    RouteIndex,
    Workspace,
    parse_manifest,
    parse_texts,
)

BOUNDED = settings(derandomize=True, deadline=None, max_examples=120)

SCALARS = st.one_of(
    st.integers(-(2**63), 2**63 - 1),
    st.floats(),
    st.booleans(),
    st.text(max_size=12),
    st.datetimes(),
    st.sampled_from(["in", "out", "a", "plain", "10.0.0.1:80", "/a", "a" * 64, 0, 1]),
)
VALUES = st.one_of(
    SCALARS,
    st.lists(SCALARS, max_size=3),
    st.dictionaries(st.text(max_size=4), SCALARS, max_size=2),
)


def rows_of(checks):
    """Return a strategy for rows with some known and sometimes an unknown field."""
    names = st.sampled_from([*checks, "server", "unknown"])
    return st.lists(st.dictionaries(names, VALUES, max_size=6), max_size=3)


def outcome(parse, *arguments):
    """Return the parsed value, or the text of the `ConfigurationError`."""
    try:
        return parse(*arguments)
    except ConfigurationError as error:
        return error.format_message()


class TestHostileInput:
    """
    A faulty script writes the tables, or a service returns unrelated data. If parsing
    raised any other exception than `ConfigurationError`, the routers on every VM would
    crash in the same second.
    """

    @BOUNDED
    @given(
        rows_of(WORKSPACE_CHECKS),
        rows_of(ROUTE_CHECKS),
        rows_of(DATA_CENTRE_CHECKS),
        rows_of(POOL_CHECKS),
        rows_of(SERVER_CHECKS),
    )
    def test_random_rows_give_tables_or_an_error(
        self, workspaces, routes, centres, pools, servers
    ):
        for pool in pools:
            pool.setdefault("server", servers)
        first = tomli_w.dumps({"workspace": workspaces, "route": routes}).encode()
        second = tomli_w.dumps({"data_centre": centres, "pool": pools}).encode()
        assert outcome(parse_texts, 1, first, second)

    @BOUNDED
    @given(st.binary(max_size=60))
    @example(b"\xff\xfe")
    @example(b"version = 1" + b"0" * 5000)
    @example(b"a = " + b"[" * 100_000)
    @example(b"a.b.c.d = {" * 2000)
    def test_random_bytes_give_a_value_or_an_error(self, raw):
        assert outcome(parse_texts, 1, raw, raw)
        assert outcome(parse_manifest, raw)
        assert outcome(parse_vm_list, raw)

    @BOUNDED
    @given(
        VALUES,
        st.lists(
            st.dictionaries(
                st.sampled_from(
                    ["table", "name", "sha256", "bytes", "host", "peer_port"]
                ),
                VALUES,
                max_size=5,
            ),
            max_size=3,
        ),
    )
    def test_random_manifest_gives_a_value_or_an_error(self, version, rows):
        for name, parse in (("part", parse_manifest), ("vm", parse_vm_list)):
            raw = tomli_w.dumps({"version": version, name: rows}).encode()
            assert outcome(parse, raw)


class TestFieldChecks:
    @pytest.mark.parametrize(
        ("cls", "checks"),
        [
            (Workspace, WORKSPACE_CHECKS),
            (Route, ROUTE_CHECKS),
            (DataCentre, DATA_CENTRE_CHECKS),
            (BackendServer, SERVER_CHECKS),
            (Pool, {**POOL_CHECKS, "servers": None}),
        ],
    )
    def test_every_field_of_a_row_has_a_check(self, cls, checks):
        assert {attribute.name for attribute in fields(cls)} == set(checks)


class TestManyRoutes:
    """
    A script creates a separate route for each workspace on one path. If routes were
    compared in pairs, every router would block while it checks the tables, and each
    lookup would be slow.
    """

    COUNT = 3000

    def text(self):
        names = [f"w{number}" for number in range(self.COUNT)]
        workspaces = [{"name": name} for name in names]
        routes = [
            {"name": name, "path": "/a", "pool": "p", "workspaces": [name]}
            for name in names
        ]
        return tomli_w.dumps({"workspace": workspaces, "route": routes}).encode()

    def test_lookup_returns_the_route_of_the_workspace(self):
        index = RouteIndex(parse_texts(1, self.text(), b'[[pool]]\nname = "p"\n'))
        assert index.route_for("GET", "/a", "", "w2999").name == "w2999"
        assert index.route_for("GET", "/a", "", "other") is None

    def test_lookup_compares_one_route_per_index_entry(self):
        index = RouteIndex(parse_texts(1, self.text(), b'[[pool]]\nname = "p"\n'))
        candidates_per_lookup = [len(rows) for rows in index._exact["/a"].values()]
        assert max(candidates_per_lookup) == 1

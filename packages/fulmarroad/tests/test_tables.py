"""Tests of parsing, checks, lookups and acceptance of the tables."""

from __future__ import annotations

import hashlib

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad.tables import (
    CostUnit,
    RouteIndex,
    ServiceState,
    TableName,
    Tables,
    TableStore,
    Verdict,
    build_manifest,
    parse_manifest,
    parse_tables,
    parse_texts,
)


def sha(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


ROUTES = f"""
[[workspace]]
name = "atlas"
weight = 2
key_sha256 = ["{sha("atlas-key")}"]

[[workspace]]
name = "rif"
key_sha256 = ["{sha("rif-key")}"]

[[route]]
name = "chat"
path = "/v1/chat/completions"
pool = "drafting"
"""
POOLS = """
[[data_centre]]
name = "north"

[[data_centre]]
name = "south"
state = "out"

[[pool]]
name = "drafting"

[[pool.server]]
name = "d1"
address = "10.0.0.1:8000"
data_centre = "north"

[[pool.server]]
name = "d2"
address = "[::1]:8000"
data_centre = "south"
state = "out"
"""


def parse(routes: str = ROUTES, pools: str = POOLS) -> Tables:
    return parse_texts(1, routes.encode(), pools.encode())


def problems(routes: str = ROUTES, pools: str = POOLS) -> tuple[str, ...]:
    with pytest.raises(ConfigurationError) as caught:
        parse(routes, pools)
    return caught.value.problems


def publish(version: int, routes: str = ROUTES, pools: str = POOLS):
    contents = {
        (TableName.ROUTES, "routes-1"): routes.encode(),
        (TableName.POOLS, "pools-1"): pools.encode(),
    }
    manifest = build_manifest(version, contents)
    by_hash = {part.sha256: contents[part.table, part.name] for part in manifest.parts}
    return manifest, by_hash


class TestParsing:
    def test_parses_every_row(self):
        tables = parse()
        assert tables.workspaces["atlas"].weight == 2.0
        assert tables.pools["drafting"].servers[1].address == "[::1]:8000"
        assert tables.data_centres["south"].state is ServiceState.OUT
        assert not tables.server_takes_work(tables.pools["drafting"].servers[1])

    def test_cost_of_a_plain_pool_defaults_to_calls(self):
        tables = parse(pools=POOLS + '[[pool]]\nname = "ledger"\nkind = "plain"\n')
        assert tables.pools["ledger"].cost is CostUnit.CALLS

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("weight = 2", "weight = 0", "workspace 'atlas': weight: must be from"),
            ("weight = 2", "weight = nan", "workspace 'atlas': weight: must be from"),
            ("weight = 2", "weight = true", "weight: must be a number; is True"),
            (
                "weight = 2",
                "wieght = 2",
                "workspace 'atlas': wieght: is not a known field",
            ),
            ('name = "rif"', 'name = "atlas"', "'atlas': name: is used twice"),
            ('name = "rif"', 'name = "a/b"', "'a/b': name: must be 1 to 64 letters"),
            ('name = "rif"', "", "workspace number 2: name: is missing"),
            (sha("rif-key"), sha("atlas-key"), "'rif': key_sha256: "),
            (sha("rif-key"), "rif-key", "'rif': key_sha256: must be a SHA-256"),
            ('pool = "drafting"', 'pool = "x"', "route 'chat': pool: no pool is"),
            ('path = "/v1', 'path = "v1', "route 'chat': path: must begin with"),
            (
                'pool = "drafting"',
                'pool = "drafting"\nworkspaces = ["x"]',
                "route 'chat': workspaces: no workspace is named 'x'",
            ),
            (
                'pool = "drafting"',
                'pool = "drafting"\n[[route]]\nname = "b"\npool = "drafting"\n'
                'path = "/v1/chat/completions"',
                "route 'b': path: matches the same calls as route 'chat'",
            ),
        ],
    )
    def test_problem_names_table_row_and_field_in_the_routes_table(
        self, old, new, expected
    ):
        found = problems(routes=ROUTES.replace(old, new))
        assert len(found) == 1
        assert found[0].startswith("routes")
        assert expected in found[0]

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("10.0.0.1:8000", "engine:8000", "server 'd1': address: must be an IP"),
            ("10.0.0.1:8000", "10.0.0.1:0", "server 'd1': address: must be an IP"),
            ("10.0.0.1:8000", "[0::1]:8000", "'d2': address: [::1]:8000 is also that"),
            ('"d2"', '"d1"', "server 'd1': name: is used twice"),
            (
                'data_centre = "north"',
                'data_centre = "x"',
                "'d1': data_centre: no data",
            ),
            ('state = "out"', 'state = "off"', 'state: must be "in" or "out"'),
            (
                'name = "drafting"',
                'name = "drafting"\ncold_concurrency = 40',
                "pool 'drafting': cold_concurrency: must be at most",
            ),
            ("[[pool]]", "[[pol]]\n[[pool]]", "pol: is unknown here"),
        ],
    )
    def test_problem_names_table_row_and_field_in_the_pools_table(
        self, old, new, expected
    ):
        found = problems(pools=POOLS.replace(old, new))
        assert all(problem.startswith("pools") for problem in found)
        assert expected in found[0]

    def test_reports_the_problems_of_both_tables(self):
        found = problems(
            ROUTES.replace("weight = 2", "weight = -1"),
            POOLS.replace("10.0.0.1", "engine"),
        )
        assert len(found) == 2

    def test_reference_to_an_invalid_row_is_not_reported(self):
        assert len(problems(pools=POOLS + "can_resume = 3\n")) == 1
        broken = POOLS.replace('name = "drafting"', 'name = "drafting"\ncost = 3')
        assert len(problems(pools=broken)) == 1

    @pytest.mark.parametrize(
        "text", ["a = ", "a = " + "[" * 5000, "workspace = 3", '"\x00"', "a = 1" * 2]
    )
    def test_reports_a_text_that_is_no_valid_table(self, text):
        assert len(problems(routes=text)) >= 1

    @pytest.mark.parametrize(
        ("corrupt", "expected"),
        [
            (lambda raw: raw + b" ", "has"),
            (lambda raw: raw.replace(b"rif", b"fir"), "has another SHA-256"),
        ],
    )
    def test_problem_names_a_corrupted_part(self, corrupt, expected):
        manifest, parts = publish(1)
        corrupted = {key: corrupt(raw) for key, raw in parts.items()}
        with pytest.raises(ConfigurationError) as caught:
            parse_tables(1, corrupted, manifest)
        assert f"routes (part routes-1): {expected}" in caught.value.problems[0]
        assert parse_tables(1, parts, manifest) == parse()


class TestManifest:
    def test_parses_its_own_output(self):
        manifest, _ = publish(7)
        assert parse_manifest(manifest.raw) == manifest

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            (
                "version = 7",
                "version = 0",
                "must be at least one [[part]], from version 1",
            ),
            ("version = 7", 'version = "7"', "version: must be a whole number"),
            ('"routes"', '"rotues"', "'routes-1': table: must be"),
            ("bytes = ", "bytes = 9999999", "bytes: must be from 1 to 1000000"),
            ("pools-1", "routes-1", "'routes-1': name: is used twice"),
            ("version = 7", "version = 7\nextra = 1", "extra: is not a known field"),
        ],
    )
    def test_rejects_an_invalid_manifest(self, old, new, expected):
        raw = publish(7)[0].raw.decode().replace(old, new)
        with pytest.raises(ConfigurationError) as caught:
            parse_manifest(raw.encode())
        assert expected in caught.value.problems[0]


class TestRouteIndex:
    ROUTES = ROUTES + "".join(
        f'[[route]]\nname = "{name}"\npool = "drafting"\n{rest}\n'
        for name, rest in [
            ("big", 'path = "/v1/chat/completions"\nmodel = "big"'),
            ("v1", 'path = "/v1/"\npath_prefix = true'),
            ("v1-rif", 'path = "/v1"\npath_prefix = true\nworkspaces = ["rif"]'),
            ("all", 'path = "/"\npath_prefix = true\nmethods = ["GET"]'),
        ]
    )

    @pytest.mark.parametrize(
        ("call", "expected"),
        [
            (("POST", "/v1/chat/completions", "", "atlas"), "chat"),
            (("POST", "/v1/chat/completions", "big", "atlas"), "big"),
            (("POST", "/v1/chat/completions", "other", "atlas"), "chat"),
            (("POST", "/v1/models", "", "atlas"), "v1"),
            (("POST", "/v1", "", "rif"), "v1-rif"),
            (("GET", "/v10", "", "atlas"), "all"),
            (("POST", "/v10", "", "atlas"), None),
            (("GET", "", "", "atlas"), "all"),
        ],
    )
    def test_returns_the_most_specific_route(self, call, expected):
        route = RouteIndex(parse(self.ROUTES)).route_for(*call)
        assert (route.name if route else None) == expected

    @pytest.mark.parametrize(
        ("key", "expected"),
        [("atlas-key", "atlas"), ("rif-key", "rif"), ("", None), ("\ud800", None)],
    )
    def test_returns_the_workspace_of_a_key(self, key, expected):
        workspace = RouteIndex(parse()).workspace_for_key(key)
        assert (workspace.name if workspace else None) == expected


class TestTableStore:
    def test_accepts_only_a_higher_version(self):
        """
        An outdated copy of the configuration service answers with an old version, and a
        peer that was disconnected offers another one. If either were accepted, a data
        centre that operators took out of service would get work again.
        """
        store = TableStore()
        assert store.offer(*publish(2), "service").accepted
        lower = store.offer(*publish(1, ROUTES + "\n"), "peer b")
        assert (lower.verdict, lower.before) == (Verdict.LOWER, 2)
        assert store.version == 2
        assert store.offer(*publish(3), "peer b").accepted

    def test_acceptance_lists_the_changes(self):
        store = TableStore()
        assert store.offer(*publish(1), "service").changes == ()
        new = ROUTES.replace("weight = 2", "weight = 3").replace('"rif"', '"souss"')
        answer = store.offer(*publish(2, new), "service")
        assert [str(change) for change in answer.changes] == [
            "workspace atlas: weight: 2 -> 3",
            "workspace rif: removed",
            "workspace souss: added",
        ]
        assert store.index.workspace_for_key("rif-key").name == "souss"

    def test_rejects_different_content_with_the_same_version(self):
        """
        Operators publish version 2 twice with different content. Without a conflict,
        routers that accepted the first would keep different tables from those that
        accepted the second, and nobody would notice.
        """
        store = TableStore()
        store.offer(*publish(2), "service")
        before = store.in_force
        answer = store.offer(*publish(2, ROUTES + "\n"), "service")
        assert answer.verdict is Verdict.CONFLICT
        assert store.in_force is before
        assert store.offer(*publish(2), "peer b").verdict is Verdict.UNCHANGED

    def test_invalid_tables_leave_the_last_valid_ones_in_force(self):
        """
        A table with a misspelt pool name is published. Routers must keep using the last
        valid version, and check the invalid version only once, not at each poll.
        """
        store = TableStore()
        store.offer(*publish(2), "service")
        bad = publish(3, ROUTES.replace('pool = "drafting"', 'pool = "x"'))
        answer = store.offer(*bad, "service")
        assert answer.verdict is Verdict.INVALID
        assert "route 'chat': pool" in answer.problems[0]
        assert store.check_manifest(bad[0], "service").verdict is Verdict.INVALID
        assert store.version == 2
        assert store.offer(*publish(3), "service").accepted

    def test_change_needs_only_the_changed_part(self):
        store = TableStore()
        store.offer(*publish(1), "service")
        manifest, parts = publish(2, ROUTES + "\n")
        asked = store.check_manifest(manifest, "service")
        assert asked.verdict is Verdict.INCOMPLETE
        assert asked.missing == (hashlib.sha256((ROUTES + "\n").encode()).hexdigest(),)
        missing_parts = {key: parts[key] for key in asked.missing}
        assert store.offer(manifest, {}, "service").missing == asked.missing
        assert store.offer(manifest, missing_parts, "service").accepted
        assert set(store.known) == manifest.hashes

    def test_version_is_accepted_after_a_truncated_transfer(self):
        """
        A part from a peer arrives truncated. The offer must be rejected, but the same
        version must be accepted when it arrives complete.
        """
        store = TableStore()
        manifest, parts = publish(1)
        corrupted = {key: raw[:-1] for key, raw in parts.items()}
        answer = store.offer(manifest, corrupted, "peer b")
        assert answer.verdict is Verdict.INCOMPLETE
        assert "part routes-1" in answer.problems[0]
        assert store.offer(manifest, parts, "service").accepted

    def test_sends_a_peer_only_the_missing_parts(self):
        source, requester = TableStore(), TableStore()
        requester.offer(*publish(1), "service")
        source.offer(*publish(2, ROUTES + "\n"), "service")
        answer = source.make_reply(requester.make_request())
        assert len(answer.parts) == 1
        manifest = parse_manifest(answer.manifest)
        assert requester.offer(manifest, answer.parts, "peer a").accepted
        assert source.make_reply(requester.make_request()).manifest == b""

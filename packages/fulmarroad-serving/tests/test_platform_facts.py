"""Decoding of the store's items, including entries of unknown writers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_platform import facts
from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_platform.facts import decode_item
from fulmarroad_serving import CallKind, ReplicaItem
from fulmarroad_serving.contracts import (
    CatalogFact,
    CentreFact,
    InstanceFact,
    InstanceRemovedFact,
    UnusableFact,
)
from fulmarroad_serving.unknown_names import MAX_NAME_CHARS, MAX_NAMES, UnknownNames

ENTRY = {
    "ServiceName": "drafting",
    "Address": "10.1.0.9:8080",
    "Zone": "fes-1",
    "Version": "v1",
    "Capacity": 128,
    "LifecycleState": "healthy",
    "WarmupLeftMs": 1500,
    "Sequence": 4,
    "born": 1774344319005,
}
ROUTE = {
    "Name": "r-1",
    "Hostname": "svc.example",
    "PathPrefix": "/draft/",
    "RouteType": "streaming",
    "TimeoutMs": 8000,
    "TargetLatencyMs": 400,
    "PriorityClass": 1,
    "TrafficSplit": [
        {"ServiceName": "a", "Weight": 90},
        {"ServiceName": "b", "Weight": 10},
    ],
    "MaxAttempts": 2,
    "SessionAffinity": True,
    "StreamResume": True,
    "ItlTargetMs": 200,
    "NewField": {"of": "another release"},
}
CONFIG = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {
            "Name": "a",
            "MaxConnections": 620,
            "WarmupPerS": 19.0,
            "InferenceEngine": {
                "Capacity": 128,
                "KvTokenBytes": 131072,
                "BandwidthMbps": 550000.0,
            },
        }
    ],
    "Limits": {
        "HeaderTimeoutMs": 4000,
        "IdleTimeoutMs": 15000,
        "ThroughputPerS": 455000,
    },
    "Tenants": [{"Name": "coop", "ApiKeys": ["k1", "k2"], "PriorityClass": 1}],
}


def decode(key, value):
    data = value if value is None or isinstance(value, bytes) else json.dumps(value)
    data = data.encode() if isinstance(data, str) else data
    return decode_item(ReplicaItem(key, 5, data))


class TestUnknownNames:
    def test_a_field_that_no_list_names_is_logged_once(self, caplog, monkeypatch):
        """Guard against a new field of the platform that nobody reads, and of which
        nobody knows until callers miss what it says.
        """
        monkeypatch.setattr(facts, "unknown_names", UnknownNames())
        with caplog.at_level("INFO", "fulmarroad.serving"):
            for _ in range(2):
                decode("servers/i-1", ENTRY | {"Build": "7"})
                decode("op/config", CONFIG)
        lines = {(row.place, row.unknown) for row in caplog.records}
        assert lines == {("server", "Build"), ("route", "NewField")}
        assert len(caplog.records) == 2

    def test_callers_cannot_fill_the_log_with_headers(self, caplog):
        codec = PlatformCodec()
        headers = [(b"x-%d" % number, b"1") for number in range(3 * MAX_NAMES)]
        with caplog.at_level("INFO", "fulmarroad.serving"):
            codec.read_call([(b"y" * 1_000, b"1"), *headers])
            codec.read_answer(200, [(b"Server-Signature", b"s"), (b"Date", b"now")])
        assert len(caplog.records) == MAX_NAMES
        assert all(len(row.unknown) <= MAX_NAME_CHARS for row in caplog.records)


class TestServers:
    def test_a_valid_entry_is_decoded(self):
        instance = decode("servers/i-1", ENTRY).instance
        assert (instance.id, instance.host, instance.port) == ("i-1", "10.1.0.9", 8080)
        assert (instance.data_centre, instance.slots) == ("fes-1", 128)
        assert (instance.draining, instance.warmup_left_s) == (False, 1.5)
        assert instance.started_ms == 1774344319005
        assert instance.version == "v1"

    def test_a_draining_server_is_decoded(self):
        entry = ENTRY | {"LifecycleState": "draining"}
        assert decode("servers/i-1", entry).instance.draining

    def test_a_removed_entry_reports_the_removal(self):
        assert decode("servers/i-1", None) == InstanceRemovedFact("i-1")

    @pytest.mark.parametrize(
        "change",
        [
            {"Address": "10.1.0.9"},
            {"Address": 7},
            {"Address": "127.0.0.9..1:8080"},
            {"Address": "example.org:8080"},
            {"Address": "010.1.0.9:8080"},
            {"Address": "10.1.9:8080"},
            {"Address": "0.0.0.0:8080"},
            {"Address": "224.0.0.1:8080"},
            {"Address": "10.1.0.9:0"},
            {"Address": "10.1.0.9:" + "9" * 30},
            {"ServiceName": None},
            {"LifecycleState": "resting"},
            {"Capacity": "128"},
            {"Capacity": True},
            {"WarmupLeftMs": -1},
            {"born": "now"},
            {"Version": ""},
            {"Version": 2},
            {"Version": None},
            {"Version": "v" * 1000},
        ],
    )
    def test_a_malformed_entry_is_unusable(self, change):
        """Another program writes an entry of a different format. A router that used the
        parts it can decode would send callers' data to an unknown address.
        """
        fact = decode("servers/i-1", ENTRY | change)
        assert isinstance(fact, UnusableFact)
        assert fact.server == "i-1"

    @pytest.mark.parametrize(
        ("sequence", "beats"),
        [(4, 4), (0, 0), (-1, None), (True, None), ("4", None), (4.5, None)],
    )
    def test_a_server_is_usable_whatever_its_count_of_heartbeats(self, sequence, beats):
        """Guard against a server without calls, for a field that no call needs."""
        fact = decode("servers/i-1", ENTRY | {"Sequence": sequence})
        assert fact.instance.beats == beats

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.one_of(
            st.binary(max_size=60),
            st.dictionaries(
                st.sampled_from(sorted(ENTRY)),
                st.one_of(
                    st.none(), st.booleans(), st.integers(), st.floats(), st.text()
                ),
            ),
        )
    )
    def test_any_value_is_decoded_or_unusable(self, value):
        assert isinstance(decode("servers/i-1", value), InstanceFact | UnusableFact)


class TestConfiguration:
    def test_a_valid_configuration_is_decoded(self):
        catalog = decode("op/config", CONFIG).catalog
        route = catalog.routes[0]
        assert (catalog.version, route.kind) == (7, CallKind.STREAM)
        assert route.repeatable
        assert (route.timeout_s, route.objective_s) == (8.0, 0.4)
        assert route.pause_objective_s == 0.2
        assert [row.weight for row in route.targets] == [90, 10]
        assert catalog.services["a"].engine.slots == 128
        rate = catalog.services["a"].engine.fetch_rate
        assert rate == pytest.approx(524_521, rel=1e-3)
        assert catalog.limits.header_timeout_s == 4
        assert catalog.limits.idle_timeout_s == 15
        assert catalog.limits.units_per_s == 455000
        assert len(catalog.holders[0].key_digests) == 2

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.sampled_from(sorted(CONFIG)),
        st.one_of(st.none(), st.integers(-5, 5), st.text(), st.lists(st.integers())),
    )
    def test_a_damaged_configuration_is_decoded_or_unusable(self, field, value):
        fact = decode("op/config", CONFIG | {field: value})
        assert isinstance(fact, CatalogFact | UnusableFact)

    @pytest.mark.parametrize(
        "change",
        [
            *({name: value} for name in ("Routes", "Services") for value in ("", {})),
            {"Tenants": ""},
            {"Tenants": {}},
            {"Tenants": False},
            {"Tenants": [{"Name": "coop", "ApiKeys": "abc"}]},
            {"Tenants": [{"Name": "coop", "ApiKeys": [None]}]},
            {"Tenants": [{"Name": "coop", "ApiKeys": [""]}]},
            {"Routes": [ROUTE | {"TrafficSplit": {}, "ServiceName": "a"}]},
        ],
    )
    def test_a_configuration_with_another_value_for_a_list_is_unusable(self, change):
        """Guard against a damaged configuration that ends all routes, or that lets
        callers in without a key or with one that nobody was given."""
        assert isinstance(decode("op/config", CONFIG | change), UnusableFact)

    def test_a_removed_configuration_is_ignored(self):
        assert decode("op/config", None) is None


class TestDataCentres:
    def test_an_excluded_and_an_included_data_centre(self):
        assert decode("op/evacuate/fes-1", b"{}") == CentreFact("fes-1", excluded=True)
        assert decode("op/evacuate/fes-1", None) == CentreFact("fes-1", excluded=False)


class TestOtherItems:
    def test_other_keys_are_ignored(self):
        assert decode("my/leader", b"x") is None

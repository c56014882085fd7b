"""Formats of the stand-ins, read by the routers' own decoders."""

import json

from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_platform.facts import CATALOG_KEY, SERVERS_PREFIX, decode_item
from fulmarroad_platform.settings import load_settings
from fulmarroad_platform.standin import (
    StandInRoute,
    catalog,
    read_request,
    request_bytes,
    server_entry,
    settings_text,
)
from fulmarroad_serving import ReplicaItem
from fulmarroad_serving.contracts import CatalogFact, InstanceFact

ROUTE = StandInRoute("/draft/", 0.4, 0.2, 2, 8.0)


def decode(key, value):
    return decode_item(ReplicaItem(key, 5, json.dumps(value).encode()))


class TestFormats:
    def test_routers_read_the_items_of_the_store(self):
        """Guard against runs whose routers never become ready or know no server."""
        fact = decode(CATALOG_KEY, catalog(3, ROUTE, 64, {"w": "key"}, ["other"]))
        assert isinstance(fact, CatalogFact)
        route, other = fact.catalog.routes
        assert (route.resumable, route.pause_objective_s, other.name) == (
            True,
            0.2,
            "other",
        )
        fact = decode(f"{SERVERS_PREFIX}e-1", server_entry("127.0.0.9", 7431, 64))
        assert isinstance(fact, InstanceFact)

    def test_routers_read_the_settings_file(self, tmp_path):
        path = tmp_path / "router.toml"
        path.write_text(
            settings_text(
                "router-1", "127.0.0.8", (1, 2, 3, 4), ["127.0.0.7"], "127.0.0.6:5", 50
            )
        )
        settings = load_settings(path, 7410)
        assert settings.serving.callers_port == 1
        assert settings.serving.peer_port == 4
        assert settings.serving.bounds.retry_burst == 50
        assert settings.store_port == 5

    def test_a_callers_request_reaches_the_server_through_the_routers_codec(self):
        """Guard against engines that serve a request under another id or from the
        start.
        """
        raw = request_bytes(
            "s-1", "/draft/x", "key", 8.0, (400, 24), "a:300,b:100", b"x"
        )
        lines = raw.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        pairs = (line.split(b": ", 1) for line in lines)
        codec = PlatformCodec()
        head = codec.read_call([(name, value) for name, value in pairs])
        assert (head.key, head.shared_tokens, head.own_tokens) == (b"key", 300, 100)
        sent = codec.server_headers(
            head, instance="e-1", workspace="w", remaining_s=2.0, last_event_id="7"
        )
        rows = [b"POST / HTTP/1.1", *(name + b": " + value for name, value in sent)]
        request = read_request(b"\r\n".join(rows))
        assert (request.id, request.instance, request.last_event) == ("s-1", "e-1", 7)
        assert request.deadline_s == 2.0

    def test_a_call_that_takes_a_stream_up_says_where_and_which(self):
        """Guard against callers whose streams begin again at the router."""
        raw = request_bytes(
            "s-2", "/draft/x", "key", 8.0, (100, 24), "b:100", b"x", 7, "s-1"
        )
        lines = raw.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        pairs = (line.split(b": ", 1) for line in lines)
        head = PlatformCodec().read_call([(name, value) for name, value in pairs])
        assert (head.last_event_id, head.resumes) == ("7", "s-1")
        request = read_request(raw)
        assert (request.path, request.own_part, request.own_part_tokens) == (
            "/draft/x",
            "b",
            100,
        )

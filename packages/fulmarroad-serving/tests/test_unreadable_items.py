"""Items of the store that can't be read or applied, between sound ones."""

import json

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_store import FakePlatformStore
from store_items import CONFIG, ENTRY, SOUND, Router, item, sound_items

from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving._reader import StoreReader
from fulmarroad_serving._replica_sync import (
    MAX_PULL_BYTES,
    _encode_delta,
    _read_delta,
)
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.http_client import Reply

NESTED = b"[" * 4_000 + b"]" * 4_000
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda rows: st.lists(rows, max_size=3) | st.dictionaries(st.text(), rows),
    max_leaves=8,
)
FIELDS = ("ServiceName", "Address", "Zone", "Version", "Capacity", "born")
DATA = st.one_of(
    st.binary(max_size=40),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    st.sampled_from([NESTED, b'{"Address":' * 5_000, b"\xff" * 200_000, b""]),
    st.tuples(st.sampled_from(FIELDS), JSON_VALUES).map(
        lambda pair: json.dumps(ENTRY | dict([pair])).encode()
    ),
)


WAYS = {"listing": Router.list, "batch": Router.change, "delta": Router.pull}


class TestItemsThatRaise:
    @pytest.mark.parametrize("way", WAYS)
    @pytest.mark.parametrize("error", [RecursionError, MemoryError, LookupError])
    @pytest.mark.parametrize(
        "place", ["decode", "put", "forget", "restarted", "exclude_centre"]
    )
    def test_the_items_behind_one_that_raises_are_applied(
        self, way, error, place, monkeypatch
    ):
        """Guard against one item after which no server is known any more."""
        router = Router()
        bad = item("servers/b-1", ENTRY | {"ServiceName": "other"}, 9)
        if place == "exclude_centre":
            bad = item("op/evacuate/taza", {}, 9)
        owner = {
            "decode": router.store,
            "put": router.dispatcher.registry,
            "forget": router.pool,
            "restarted": router.dispatcher,
            "exclude_centre": router.dispatcher.registry,
        }[place]
        works = getattr(owner, place)

        def fail(first, *more, **names):
            if getattr(first, "id", first) in ("b-1", "taza") or first == bad:
                raise error("not this one")
            return works(first, *more, **names)

        monkeypatch.setattr(owner, place, fail)
        rows = sound_items()
        WAYS[way](router, [rows[0], rows[1], bad, *rows[2:]])
        assert router.serves

    @pytest.mark.parametrize("way", WAYS)
    def test_the_servers_behind_a_configuration_that_raises_are_applied(
        self, way, monkeypatch
    ):
        """Guard against a consumer of the configuration that keeps servers out."""
        router = Router()
        rows = sound_items()
        router.list(rows[:1], at=2)

        def fail(catalog):
            raise RecursionError("too deep")

        router.state.on_catalog = fail
        monkeypatch.setattr(router.dispatcher, "set_catalog", fail)
        WAYS[way](router, [item("op/config", CONFIG | {"Version": 8}, 9), *rows[1:]])
        assert router.serves


class TestEntriesOfOtherWriters:
    @settings(max_examples=150, deadline=None)
    @given(
        st.sampled_from(sorted(WAYS)),
        st.lists(st.tuples(st.sampled_from("bnz"), DATA), min_size=1, max_size=5),
    )
    def test_sound_servers_stay_in_use_beside_any_entry(self, way, others):
        """Guard against an entry of another writer that takes sound servers away."""
        router = Router()
        rows = sound_items()
        router.list(rows, at=10)
        bad = [
            item(f"servers/{name}-{number}-x", data, 20 + number)
            for number, (name, data) in enumerate(others)
        ]
        WAYS[way](router, sorted([*rows, *bad], key=lambda row: row.key))
        assert router.state.replica.news_at == 100
        for start in (router, router.restarted()):
            assert start.state.catalog.version == 7
            assert set(SOUND) <= set(start.servers)

    def test_a_configuration_that_cannot_be_read_leaves_the_one_in_force(self):
        """Guard against routes that end as another writer damages the configuration."""
        router = Router()
        router.list(sound_items(), at=8)
        router.change([item("op/config", NESTED, 9)])
        assert router.serves


class UnreadableStore(FakePlatformStore):
    """A store whose answers hold rows that are no items."""

    rows = ()

    def _bytes(self, status, body):
        for name in ("Entries", "events"):
            if name in body:
                body = body | {name: [*self.rows, *body[name], *self.rows]}
        return super()._bytes(status, body)


class TestStoreAnswers:
    @pytest.mark.parametrize(
        "row",
        [
            7,
            None,
            [],
            {},
            {"Key": 7, "Revision": 3, "Data": ""},
            {"Key": "servers/b", "Revision": "x", "Data": ""},
            {"Key": "servers/b", "Revision": 1e300, "Data": ""},
            {"Key": "servers/b", "Revision": 3, "Data": "%%"},
            {"Key": "servers/b", "Revision": 3},
            {"Key": "servers/b" * 999, "Revision": 3, "Data": ""},
            {"Key": "\ud800", "Revision": 3, "Data": ""},
        ],
    )
    def test_an_invalid_row_leaves_the_items_beside_it(self, row):
        """Guard against one row that keeps every listing and every change out."""

        async def test():
            store = UnreadableStore()
            store.rows = (row,)
            store.put("op/config", CONFIG)
            for key in SOUND[:2]:
                store.put(key, ENTRY)
            await store.start()
            router = Router(store.port)
            reader = StoreReader(
                router.store, router.state, lambda: True, anyio.current_time, 1
            )
            async with anyio.create_task_group() as group:
                group.start_soon(reader.run)
                with anyio.fail_after(3):
                    while len(router.servers) < 2:
                        await anyio.sleep(0.01)
                    store.put(SOUND[2], ENTRY)
                    while not router.serves:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            await store.stop()

        anyio.run(test)

    @pytest.mark.parametrize("key", ["servers/b-{}", "other/{}", "op/evacuate/z-{}"])
    def test_large_data_of_other_writers_is_not_passed_on(self, key):
        """Guard against copies that are too large for a transfer between routers, so
        that no later change reaches those which don't read the store.
        """

        async def test():
            store = FakePlatformStore()
            store.put("op/config", CONFIG)
            for name in SOUND:
                store.put(name, ENTRY)
            for number in range(10):
                store.put(key.format(number), "x" * 1_000_000)
            await store.start()
            router = Router(store.port)
            listing = await router.store.list_all()
            router.list(listing.items)
            after = Router()
            delta = router.state.replica.since(0)
            assert len(_encode_delta(delta)) < MAX_PULL_BYTES / 100
            after.state.apply_delta(_read_delta(_encode_delta(delta)), 60.0, "test")
            for start in (router, after):
                assert start.serves
                centres = start.dispatcher.registry.centres_left
                assert len(centres) == (10 if "evacuate" in key else 0)
            router.store._client.close()
            await store.stop()

        anyio.run(test)

    @pytest.mark.parametrize(
        ("headers", "body"),
        [
            ({}, NESTED),
            ({}, b"9" * 5_000),
            ({}, b'{"At": 1e999, "Entries": []}'),
            ({}, b'{"At": NaN, "Entries": []}'),
            ({}, b'{"At": 5}'),
            ({}, b'{"At": 5, "Entries": 7}'),
            ({b"Store-Era": b"9" * 5_000}, b'{"At": 5, "Entries": []}'),
            ({b"Store-Era": b"-1"}, b'{"At": 5, "Entries": []}'),
        ],
    )
    def test_an_answer_that_cannot_be_read_counts_as_none(self, headers, body):
        """Guard against an answer of the store that ends the task which reads it."""
        assert self.listing_error(headers, body)

    def test_a_listing_without_an_end_counts_as_none(self):
        """Guard against a page that is read over and over."""
        row = {"Key": "servers/a", "Revision": 3, "Data": ""}
        body = {"At": 5, "Truncated": True, "Entries": [row]}
        assert self.listing_error({}, json.dumps(body).encode())

    def listing_error(self, headers, body):
        async def get(target, timeout_s):
            return Reply(200, body, tuple(headers.items()))

        async def test():
            store = PlatformStore("127.0.0.1", 1)
            store._client.get = get
            with anyio.fail_after(2), pytest.raises(StoreError) as failure:
                await store.list_all()
            return failure.value

        return anyio.run(test)

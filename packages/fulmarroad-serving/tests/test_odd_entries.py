"""Odd entries of other writers that stay in the store while the fleet goes on."""

import json

import anyio
import pytest
from paged_platform_store import ITEM_BYTES, follows, reading, stored, until
from store_items import ENTRY, SOUND, Router, item, sound_items
from stream_listener import start_listener

from fulmarroad.events import MAX_CAUSE_CHARS
from fulmarroad_platform import facts
from fulmarroad_platform.facts import decode_item
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving import ReplicaItem
from fulmarroad_serving._replica_sync import MAX_PULL_BYTES, _encode_delta, _read_delta
from fulmarroad_serving.exceptions import HistoryLostError, StoreError
from fulmarroad_serving.streams._confirmation import ListConfirmation

ODD_PORTS = [
    *[
        "0",
        "65536",
        "-1",
        "1e3",
        " 80",
        "80 ",
        "８０",
        "٨٠",
        "80.5",
        "",
        "0x50",
        "+80",
        "8_0",
    ],
    "9" * 5_000,
]
ODD_HOSTS = [
    *("::1%\0", "::1%lo", "::1%\r\n", "127.0.0.1\n"),
    *("[::1]", "127.1", "127.0.0.01", "0.0.0.0", "::", "::ffff:0.0.0.0"),
]


class TestOddAddresses:
    @pytest.mark.parametrize(
        "address",
        [
            *(f"127.0.0.1:{port}" for port in ODD_PORTS),
            *(f"{host}:80" for host in ODD_HOSTS),
        ],
    )
    def test_an_odd_address_names_no_server(self, address):
        """Guard against calls to an address that another writer spelled."""
        router = Router()
        router.list(
            [*sound_items(), item("servers/b", ENTRY | {"Address": address}, 9)]
        )
        assert router.serves


class TestOddKeys:
    @pytest.mark.parametrize("name", ["", "a\r\nb: c", "a\0", "a\x7f", "a\u2028b"])
    def test_an_id_that_no_header_can_hold_names_no_server(self, name):
        """Guard against calls with a header that the key of another writer adds."""
        router = Router()
        router.list([*sound_items(), item(f"servers/{name}", ENTRY, 9)])
        assert router.serves

    @pytest.mark.parametrize("name", ["", "a b", "\0", "é", "x" * 900, "a/b", "%2F"])
    def test_a_data_centre_of_any_name_can_be_left(self, name):
        """Guard against an evacuation of another name that ends the others."""
        router = Router()
        router.list([item(f"op/evacuate/{name}", None, 2), *sound_items()])
        router.change([item(f"op/evacuate/{name}", b"", 20), item("x" * 900, b"", 21)])
        assert router.serves
        assert router.dispatcher.registry.centres_left == {name}


class TestLogLines:
    @pytest.mark.parametrize("key", ["op/config", "servers/b"])
    @pytest.mark.parametrize(
        "data", [b"\xff" * 16_000, b'{"' + b"\\ud800" * 2_000 + b'": 1}']
    )
    def test_the_cause_of_a_large_item_is_cut(self, key, data):
        """Guard against log lines as large as the items that can't be read."""
        fact = decode_item(ReplicaItem(key, 3, data))
        assert (fact.key, len(fact.cause)) <= (key, MAX_CAUSE_CHARS)


class TestPages:
    @pytest.mark.parametrize("page_items", [1, 2, 3])
    @pytest.mark.parametrize("key", ["a", "servers/b-1", "servers/m-2", "z"])
    @pytest.mark.parametrize(
        "odd",
        [
            {"Revision": "x"},
            {"Revision": 1e300},
            {"Revision": None},
            {"Data": "%"},
            {"Data": None},
            {"Deleted": "x"},
        ],
    )
    def test_an_odd_row_at_the_border_of_a_page(self, page_items, key, odd):
        """Guard against a row that ends the listing where it fills or ends a page."""

        async def test():
            store = stored(*SOUND)
            store.put(key, {})
            store.odd[key] = odd
            async with reading(store, page_items) as router:
                await follows(store, router)

        anyio.run(test)


class TestLargeChanges:
    @pytest.mark.parametrize("prefix", ["servers/b-{}", "other/{}"])
    def test_changes_that_are_too_large_for_one_answer(self, prefix):
        """Guard against large items of another writer, written within one watch, that
        keep all later changes out.
        """

        async def test():
            store = stored(*SOUND)
            async with reading(store) as router:
                await until(lambda: router.serves)
                for number in range(14):
                    store.put(prefix.format(number), "x" * (ITEM_BYTES - 2))
                await follows(store, router)

        anyio.run(test)

    @pytest.mark.parametrize(
        ("size", "is_large"), [(6 * ITEM_BYTES, True), (ITEM_BYTES, False)]
    )
    def test_a_large_answer_that_does_not_end_in_time(self, size, is_large):
        """Guard against an answer that is asked for again and never read whole."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 99999999\r\n\r\n")
            writer.write(b" " * size)
            await writer.drain()
            await reader.read()

        async def test():
            listener = await start_listener(answer)
            store = PlatformStore("127.0.0.1", listener.port)
            with pytest.raises(StoreError) as failure:
                await store.read_changes(5, 0.3)
            assert isinstance(failure.value, HistoryLostError) == is_large
            await listener.aclose()

        anyio.run(test)


ODD_DATA = [
    b"[" * 16_000,
    b'{"a":' * 3_000,
    b"\xff" * 16_000,
    b"9" * 16_000,
    b"[" + b"1e400," * 2_500 + b"1]",
    b"[" + b"9" * 4_299 + b"]",
    b'{"x":"' + b"\\ud800" * 2_500 + b'"}',
    json.dumps(ENTRY | {"Zone": "x" * 15_000}).encode(),
    json.dumps(ENTRY | {"Capacity": "x", "LoadedModels": "x" * 15_000}).encode(),
]


class TestManyOddEntries:
    @pytest.mark.parametrize("data", ODD_DATA)
    def test_copies_hold_sound_entries_beside_many_odd_ones(self, data):
        """Guard against copies that are too large for a transfer between routers."""

        async def test():
            store = stored(*SOUND)
            for number in range(600):
                store.put_bytes(f"servers/b-{number}", data)
            async with reading(store) as router:
                await until(lambda: set(SOUND) <= set(router.servers))
                copy = _encode_delta(router.state.replica.since(0))
            assert len(copy) < MAX_PULL_BYTES / 8
            after = Router()
            after.state.apply_delta(_read_delta(copy), 60.0, "test")
            assert after.serves

        anyio.run(test)

    def test_an_error_that_nobody_expects_leaves_the_other_entries(self, monkeypatch):
        """Guard against an entry that ends the listing as its size is checked."""

        def fail(server, raw):
            if server == "b":
                raise MemoryError
            return decode(server, raw)

        async def test():
            store = stored(*SOUND)
            store.put("servers/b", {"x": "x" * 2_000})
            async with reading(store) as router:
                await follows(store, router)

        decode = facts._instance
        monkeypatch.setattr(facts, "_instance", fail)
        anyio.run(test)


class TestConfirmation:
    def test_an_answer_that_raises_leaves_the_next_ones(self, monkeypatch):
        """Guard against an answer that ends the task which confirms the list, and the
        process when it comes again and again.
        """

        async def test():
            store = stored(*SOUND)
            async with reading(store) as router:
                await until(lambda: router.serves)
                confirmation = ListConfirmation(
                    router.store,
                    router.state,
                    lambda: 1,
                    lambda: 60.0,
                    anyio.current_time,
                )
                async with anyio.create_task_group() as group:
                    group.start_soon(confirmation.run)
                    with monkeypatch.context() as patch:
                        patch.setattr(router.store, "read_changes", fail)
                        assert not await confirmation.confirm(anyio.current_time(), 0.2)
                    store.put("servers/y-1", ENTRY)
                    assert await confirmation.confirm(anyio.current_time(), 1.0)
                    assert "servers/y-1" in router.servers
                    group.cancel_scope.cancel()

        async def fail(at, timeout_s):
            raise RecursionError

        anyio.run(test)

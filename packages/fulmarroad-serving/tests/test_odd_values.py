"""Odd values in each field of entries and of the store's answers, in each way of
reading them.
"""

import contextlib
import json
import logging
from copy import deepcopy
from urllib.parse import parse_qsl

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from paged_platform_store import PagedStore
from store_items import CONFIG, ENTRY, SOUND, Router

from fulmarroad.events import Event
from fulmarroad_platform import facts
from fulmarroad_platform.facts import decode_item
from fulmarroad_serving import ReplicaItem
from fulmarroad_serving._replica_sync import _encode_delta, _read_delta
from fulmarroad_serving.contracts import CatalogFact, InstanceFact
from fulmarroad_serving.exceptions import HistoryLostError, StoreError
from fulmarroad_serving.http_client import Reply
from fulmarroad_serving.streams._confirmation import ListConfirmation

ODD_VALUES = [
    *("null", "true", "[]", "{}", '""', '"\\ud800"', '"\\u0000"', '"x"', "0.5", "-1"),
    *("1e400", "-1e400", "NaN", "Infinity", str(2**63), str(2**64), "9" * 5_000),
    *("[" * 3_000 + "]" * 3_000, '{"a":' * 100_000, "[" * 100_000),
    json.dumps("x" * 1_000_000),
    '{"a":1,"a":2}',
    '["a",',
]
"""JSON, and what only looks like it."""

FULL_CONFIG = CONFIG | {
    "Version": 8,
    "Routes": [
        CONFIG["Routes"][0] | {"TrafficSplit": [{"ServiceName": "ledger", "Weight": 1}]}
    ],
    "Services": [{"Name": "ledger", "InferenceEngine": {"Capacity": 6}}],
    "Tenants": [{"Name": "w", "ApiKeys": ["k"]}],
    "Limits": {"MaxHeaderBytes": 8_000},
}

ENTRY_FIELDS = [*ENTRY, "LoadedModels", "\\ud800", "x" * 300]
CONFIG_FIELDS = [*CONFIG, "Tenants", "Limits", "Other"]
ROW_FIELDS = ["Key", "Data", "Revision", "Created", "LeaseId", "Deleted", "Other"]
BODY_FIELDS = ["At", "Truncated", "Entries", "events", "Other"]
KEYS = [
    *("servers/a-0", "servers/m-1", "servers/zz", "op/evacuate/taza", "op/evacuate/"),
    *("a", "zz", "op/other", "servers/" + "x" * 250, "k" * 1_500, "é/\0"),
]
PLACEHOLDER = "@odd@"


def is_json(text):
    """Return whether a text can be read; no answer that holds another one can."""
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


def with_field(value, name, odd):
    """Return a JSON object in which a field has an odd value, also two of a name."""
    rest = json.dumps({key: row for key, row in value.items() if key != name})
    return (rest[:-1] + f', "{name}":{odd}}}').encode("utf-8", "surrogatepass")


class OddStore(PagedStore):
    """A store without a network that says one value in an odd way."""

    def __init__(self):
        super().__init__()
        self.put("op/config", CONFIG)
        for key in SOUND:
            self.put(key, ENTRY)
        self.odd_value = "null"
        self.odd_field = ""  # of the answers' bodies
        self.odd_era = b""

    async def get(self, target, timeout_s):
        path, _, query = target.partition("?")
        status, body = await self._answer(path, dict(parse_qsl(query)))
        if self.odd_field:
            body |= {self.odd_field: PLACEHOLDER}
        text = json.dumps(body).replace(f'"{PLACEHOLDER}"', self.odd_value)
        era = self.odd_era or str(self.era).encode()
        return Reply(status, text.encode(), ((b"Store-Era", era),))

    def router(self):
        router = Router()
        router.store._client.get = router.store._short_client.get = self.get
        return router


async def list_store(router):
    listing = await router.store.list_all()
    router.state.apply_listing(listing.items, listing.at, 60.0, "test")


async def watch(router):
    try:
        listing = await router.store.watch(router.state.replica.at, 0.01)
    except HistoryLostError:
        await list_store(router)
    else:
        router.state.apply_changes(listing.items, listing.at, 60.0, "test")


async def confirm(router):
    confirmation = ListConfirmation(
        router.store, router.state, lambda: 1, lambda: 60.0, lambda: 0.0
    )
    await confirmation._read()


async def copy(router, peer):
    """Pull a copy from a peer, which read the store by itself."""
    await list_store(peer)
    delta = _encode_delta(peer.state.replica.since(router.state.replica.at))
    router.state.apply_delta(_read_delta(delta), 60.0, "peer")


WAYS = {"listing": list_store, "watch": watch, "confirmation": confirm}
JOINING = "servers/y-1"


class Lines(logging.Handler):
    """Collect the keys of items that are logged as unusable."""

    def __init__(self):
        super().__init__()
        self.keys = set()

    def emit(self, record):
        if record.event == Event.STORE_ITEM_UNUSABLE.value.number:
            self.keys.add(record.key)


class Case:
    """One router that reads, one that pulls copies from it, and an odd item."""

    def __init__(self, way, page_items):
        self.read = WAYS[way]
        self.store = OddStore()
        self.store.page_items = page_items
        self.router, self.peer, self.follower = (self.store.router() for _ in range(3))
        self.sound = set(SOUND)
        self.version = 7

    async def start(self):
        await list_store(self.router)
        await copy(self.follower, self.peer)

    async def step(self):
        await self.read(self.router)
        await copy(self.follower, self.peer)
        self.check(self.router)
        self.check(self.follower)

    async def restore(self, backup):
        """Return to an older copy, and wait until all that it lacks is dropped."""
        self.store.restore_copy(backup)
        for router in (self.router, self.peer, self.follower):
            await list_store(router)
            router.now += 11.0
            router.state.expire()

    def check(self, router):
        assert set(router.servers) == self.sound
        assert router.state.catalog.version == self.version
        assert router.state.replica.at % 2**40 == self.store.revision

    def put(self, key, data):
        self.store.put_bytes(key, data)
        fact = decode_item(ReplicaItem(key, 1, data))
        is_read = len(data) <= facts.MAX_ENTRY_BYTES and isinstance(fact, InstanceFact)
        is_sound = is_read and fact.instance.service == "ledger"
        (self.sound.add if is_sound else self.sound.discard)(key)
        if isinstance(fact, CatalogFact):
            self.version = max(self.version, fact.catalog.version)

    async def join_and_leave(self):
        """Check that servers and the configuration change beside the odd item."""
        self.put(JOINING, json.dumps(ENTRY | {"born": 2_000}).encode())
        self.store.remove(SOUND[-1])
        self.sound.discard(SOUND[-1])
        self.put("op/config", json.dumps(CONFIG | {"Version": 900}).encode())
        await self.step()
        restarted = self.store.router()
        await list_store(restarted)
        self.check(restarted)


def run(test, *arguments):
    lines = Lines()
    logger = logging.getLogger("fulmarroad.serving")
    logger.addHandler(lines)
    try:
        anyio.run(test, *arguments)
    finally:
        logger.removeHandler(lines)
    return lines.keys


DRAWS = (st.sampled_from(sorted(WAYS)), st.sampled_from([1, 2, 3, 500]))
PROPERTY = settings(max_examples=150, deadline=None, derandomize=True)


async def pass_by(way, page_items, key, odd, restores):
    case = Case(way, page_items)
    await case.start()
    case.put(key, odd)
    await case.step()
    if restores:
        await case.restore(case.store.save_copy())
    sound = CONFIG | {"Version": 8} if key == "op/config" else ENTRY
    for data in (json.dumps(sound).encode(), odd, b"", odd):
        case.put(key, data)
        await case.step()
    await case.join_and_leave()


class TestOddData:
    @PROPERTY
    @given(
        *DRAWS,
        st.sampled_from(KEYS),
        st.sampled_from([*ENTRY_FIELDS, ""]),
        st.sampled_from(ODD_VALUES),
        st.booleans(),
    )
    def test_an_odd_entry_leaves_the_others(
        self, way, page_items, key, field, odd, restores
    ):
        """Guard against an entry after which the list no longer changes."""
        data = with_field(ENTRY, field, odd) if field else odd.encode()
        keys = run(pass_by, way, page_items, key, data, restores)
        names_none = not isinstance(
            decode_item(ReplicaItem(key, 1, data)), InstanceFact
        )
        assert not (key.startswith("servers/") and names_none) or key in keys


async def pass_by_row(way, page_items, key, field, odd):
    # No page follows one whose only item has no key.
    case = Case(way, 500 if field == "Key" else page_items)
    await case.start()
    case.store.odd_value = odd
    case.store.odd[key] = {field: PLACEHOLDER}
    case.store.put_bytes(key, json.dumps(ENTRY).encode())
    case.sound.discard(key)
    await case.read(case.router)
    await copy(case.follower, case.peer)
    del case.store.odd[key]
    case.put(key, json.dumps(ENTRY | {"born": 3_000}).encode())
    await case.step()
    await case.join_and_leave()


async def pass_by_answer(way, page_items, field, odd, era):
    case = Case(way, page_items)
    await case.start()
    case.store.odd_field, case.store.odd_value = field, odd
    case.store.odd_era = era
    with contextlib.suppress(StoreError):
        await case.read(case.router)
    case.store.odd_field, case.store.odd_era = "", b""
    await case.step()
    await case.join_and_leave()


class TestOddAnswers:
    @PROPERTY
    @given(
        *DRAWS,
        st.sampled_from(["servers/a-0", "servers/m-1", "servers/z-2"]),
        st.sampled_from(ROW_FIELDS),
        st.sampled_from([odd for odd in ODD_VALUES if is_json(odd)]),
    )
    def test_an_odd_row_leaves_the_others(self, way, page_items, key, field, odd):
        """Guard against a row after which the list no longer changes."""
        run(pass_by_row, way, page_items, key, field, odd)

    @PROPERTY
    @given(
        *DRAWS,
        st.sampled_from(BODY_FIELDS),
        st.sampled_from(sorted(set(ODD_VALUES) - {"[]"})),
        st.sampled_from([b"", b"x", b"-1", b"1e3", b"9" * 5_000, b"2147483649"]),
    )
    def test_an_odd_answer_leaves_the_next_ones(self, way, page_items, field, odd, era):
        """Guard against an answer after which the list no longer changes."""
        run(pass_by_answer, way, page_items, field, odd, era)


async def pass_by_configuration(way, page_items, data):
    case = Case(way, page_items)
    await case.start()
    case.put("op/config", data)
    await case.step()
    case.put("op/config", json.dumps(CONFIG | {"Version": 800}).encode())
    await case.step()
    case.put("op/config", data)
    await case.step()
    await case.join_and_leave()


def configurations():
    """Yield the path of each field of a configuration, known and unknown."""
    for field in (*CONFIG_FIELDS,):
        yield (field,)
    for field in sorted(facts.ROUTE_FIELDS) + ["Other"]:
        yield ("Routes", 0, field)
    for field in sorted(facts.SERVICE_FIELDS) + ["Other"]:
        yield ("Services", 0, field)
    for field in sorted(facts.ENGINE_FIELDS) + ["Other"]:
        yield ("Services", 0, "InferenceEngine", field)
    for field in sorted(facts.WORKSPACE_FIELDS) + ["Other"]:
        yield ("Tenants", 0, field)
    for field in sorted(facts.LIMIT_FIELDS) + ["Other"]:
        yield ("Limits", field)
    for field in ("ServiceName", "Weight", "Other"):
        yield ("Routes", 0, "TrafficSplit", 0, field)


def configuration(path, odd):
    value = deepcopy(FULL_CONFIG)
    place = value
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = PLACEHOLDER
    return json.dumps(value).replace(f'"{PLACEHOLDER}"', odd).encode()


class TestOddConfigurations:
    @PROPERTY
    @given(
        *DRAWS,
        st.sampled_from(sorted(configurations(), key=str)),
        st.sampled_from(ODD_VALUES),
    )
    def test_an_odd_configuration_is_replaced_by_a_sound_one(
        self, way, page_items, path, odd
    ):
        """Guard against a configuration after which none comes into force."""
        run(pass_by_configuration, way, page_items, configuration(path, odd))

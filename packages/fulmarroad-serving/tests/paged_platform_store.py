"""A store that lists in pages and says items in odd ways, and its readers."""

import contextlib

import anyio
from platform_store import FakePlatformStore
from store_items import CONFIG, ENTRY, SOUND, Router

from fulmarroad_serving._reader import StoreReader

ITEM_BYTES = 1_048_576
PAGE_BYTES = 1_000_000
"""Maximum size of an item's data and, beyond one item, of a page in the store."""


class PagedStore(FakePlatformStore):
    """A store that lists in pages, and may say any item in an odd way."""

    page_items = 500

    def __init__(self):
        super().__init__()
        self.odd = {}  # what replaces fields of a key's row

    async def _answer(self, path, query):
        status, body = await super()._answer(path, query)
        if path == "/api/kv-range":
            rows = sorted(body["Entries"], key=lambda row: row["Key"])
            rows = [row for row in rows if row["Key"] > query.get("After", "")]
            page, size = [], 0
            for row in rows[: self.page_items]:
                size += len(row["Data"])
                if page and size > PAGE_BYTES:
                    break
                page.append(row)
            body |= {"Entries": page, "Truncated": len(rows) > len(page)}
        for name in ("Entries", "events"):
            if name in body:
                rows = [row | self.odd.get(row["Key"], {}) for row in body[name]]
                body |= {name: rows}
        return status, body


@contextlib.asynccontextmanager
async def reading(store, page_items=500):
    """Serve a store, and run a router that reads it."""
    store.page_items = page_items
    await store.start()
    router = Router(store.port)
    reader = StoreReader(
        router.store, router.state, lambda: True, anyio.current_time, 1
    )
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        yield router
        group.cancel_scope.cancel()
    await store.stop()


async def until(condition, seconds=5):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


def stored(*names):
    store = PagedStore()
    store.put("op/config", CONFIG)
    for name in names:
        store.put(name, ENTRY)
    return store


async def follows(store, router):
    """Check that the router goes on with what joins, leaves and is configured."""
    await until(lambda: set(SOUND) <= set(router.servers))
    store.put("servers/y-1", ENTRY)
    store.remove(SOUND[0])
    store.put("op/config", CONFIG | {"Version": 8})
    await until(lambda: set(router.servers) == {*SOUND[1:], "servers/y-1"})
    assert router.state.catalog.version == 8

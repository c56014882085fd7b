"""Fake of the platform's store that can be restored from an older copy."""

import asyncio
import base64
import contextlib
import copy
import json
from urllib.parse import parse_qs, urlsplit

from attrs import define, field
from stream_listener import StreamListener, start_listener


@define
class _Item:
    revision: int
    data: bytes | None


@define
class FakePlatformStore:
    """Answer range and watch requests as the platform's documentation describes."""

    era: int = 1
    states_era: bool = True  # older stores state no era
    revision: int = 1
    offline: bool = False
    refuses_watches: bool = False
    listings: int = 0
    watches: int = 0
    port: int = 0
    _items: dict = field(factory=dict)
    _oldest_revision: int = 0  # watches from an earlier revision get 410
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _server: StreamListener | None = None

    def put(self, key, value):
        """Write an item as operators and servers do."""
        self.put_bytes(key, value if value is None else json.dumps(value).encode())

    def put_bytes(self, key, data):
        """Write an item as another writer may do."""
        self.revision += 1
        self._items[key] = _Item(self.revision, data)
        self._wake()

    def remove(self, key):
        self.put(key, None)

    def save_copy(self):
        """Return a copy of the current state for `restore_copy`."""
        return copy.deepcopy((self.revision, self._items))

    def restore_copy(self, backup):
        """Restore a copy and lose later writes; their revisions are assigned again."""
        self.revision, self._items = copy.deepcopy(backup)
        self._oldest_revision = self.revision
        self.era += 1
        self._wake()

    async def start(self):
        self._server = await start_listener(self._connected)
        self.port = self._server.port

    async def stop(self):
        """Close, and let open responses end before the event loop does."""
        await self._server.aclose()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connected(self, reader, writer):
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if self.offline:
                    break
                url = urlsplit(head.split(" ")[1])
                query = {key: row[0] for key, row in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query)
                if self.offline:
                    break
                writer.write(self._bytes(status, body))
                await writer.drain()

    async def _answer(self, path, query):
        if path == "/api/kv-range":
            self.listings += 1
            rows = [self._row(key, row) for key, row in self._items.items() if row.data]
            return 200, {"Entries": rows, "Truncated": False, "At": self.revision}
        self.watches += 1
        after = int(query["After"])
        if self.refuses_watches or not self._oldest_revision <= after <= self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["WaitTimeMs"]) / 1000):
                while self.revision == after:
                    await self._changed.wait()
        changed = [
            self._row(key, row)
            for key, row in sorted(
                self._items.items(), key=lambda pair: pair[1].revision
            )
            if row.revision > after
        ]
        return 200, {"events": changed, "At": self.revision}

    def _row(self, key, row):
        if row.data is None:
            return {"Key": key, "Revision": row.revision, "Deleted": True}
        data = base64.b64encode(row.data).decode()
        return {"Key": key, "Revision": row.revision, "Data": data, "Created": 1}

    def _bytes(self, status, body):
        data = json.dumps(body).encode()
        era = f"Store-Era: {self.era}\r\n" if self.states_era else ""
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n{era}\r\n"
        return head.encode() + data

"""What model servers of the platform say of their caches."""

import asyncio
import contextlib
import json

import pytest

from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_platform.engines import PlatformEngines
from fulmarroad_serving import Instance
from fulmarroad_serving.contracts import EngineMemory
from fulmarroad_serving.exceptions import StoreError

HOST = "127.0.0.1"
HELD = [
    ["", "5c1e07a2", 800, "m"],
    ["", "e4402b7d", 250, "m"],
    ["", "e4402b7d", 9, "n"],
]
LIST = {"epoch": 7, "NextPageToken": 3, "held": HELD}
REPORT = {"KvCapacity": 90_000, "KvUsage": 41_000, "born": 1_700_000_000_100}


def answer(body, status=200, closes=False):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    framing = "connection: close" if closes else f"content-length: {len(data)}"
    return f"HTTP/1.1 {status} X\r\n{framing}\r\n\r\n".encode() + data


def read(listing, report=REPORT, *, cuts=False):
    """Return what is read of a server that gives these answers.

    `cuts` stands for answers in bytes, with a close behind each.
    """
    answers = {b"/api/kv-list": listing, b"/api/report": report}

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = answers[head.split(b" ")[1]]
                writer.write(body if cuts else answer(body))
                if cuts:
                    return

    async def main():
        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        row = Instance("i-1", "drafting", HOST, port, "centre", 8)
        try:
            return await PlatformEngines().read(row, 1.0)
        finally:
            server.close()
            await asyncio.sleep(0.01)

    return asyncio.run(main())


class TestLists:
    def test_parts_with_their_tokens_and_the_start_of_the_server_are_read(self):
        parts = {"5c1e07a2": 800, "e4402b7d": 250}
        assert read(LIST) == EngineMemory(1_700_000_000_100, 90_000, parts)

    @pytest.mark.parametrize(
        ("listing", "report"),
        [
            ([], REPORT),
            ({"epoch": 7}, REPORT),
            (LIST | {"held": {}}, REPORT),
            (LIST | {"held": [["", "a", "9", "m"]]}, REPORT),
            (LIST | {"held": [["", "a", -9, "m"]]}, REPORT),
            (LIST | {"held": [["", 5, 9, "m"]]}, REPORT),
            (LIST | {"held": [["", "a", 9]]}, REPORT),
            (LIST, {"KvCapacity": 90_000}),
            (LIST, {"born": 1_700_000_000_100}),
            (LIST, REPORT | {"KvCapacity": 0}),
        ],
    )
    def test_a_list_that_cannot_be_read_is_none(self, listing, report):
        """Guard against parts that are missed: without them, an engine that began a
        stream looks like one that didn't.
        """
        with pytest.raises(StoreError):
            read(listing, report)

    @pytest.mark.parametrize("status", [200, 429, 503])
    def test_a_list_that_is_cut_by_a_close_is_none(self, status):
        """Guard against a cut list that is taken for a whole one: without a length,
        a close looks like the end.
        """
        whole = answer(LIST, status, closes=True)
        lengths = range(whole.index(b"\r\n\r\n") + 4, len(whole), 7)
        for cut in lengths:
            with pytest.raises(StoreError):
                read(whole[:cut], answer(REPORT), cuts=True)


class TestCalls:
    @pytest.mark.parametrize(
        ("prefix", "part", "tokens"),
        [
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", "e4402b7d", 250),
            (b"e4402b7d:250", "e4402b7d", 250),
            (b"", "", 0),
        ],
    )
    def test_the_last_part_is_the_calls_own(self, prefix, part, tokens):
        head = PlatformCodec().read_call([(b"host", b"h"), (b"prefix-hash", prefix)])
        assert (head.own_part, head.own_part_tokens) == (part, tokens)

"""Tests of answers whose connection ends at any of their bytes."""

import asyncio

import pytest
from cut_answers import (
    BEFORE,
    EVENTS,
    FRAMINGS,
    LATE_UNDELIMITED,
    REQUEST_ID,
    CutServer,
    Ending,
    Part,
    State,
    cuts,
    early_hints,
    open_connection,
)
from serving_bed import Bed, PlainCodec

from fulmarroad.delivery import CloseMode
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving.exceptions import (
    ConnectionBrokenError,
    SendError,
    StoreError,
)
from fulmarroad_serving.http_client import HttpClient

WHOLE_BODY = b"".join(EVENTS)


def read_head(status, headers):
    head = PlainCodec().read_answer(status, headers)
    return head if head.request_id in ("", REQUEST_ID) else None


class Reading:
    """What the call on a connection gets of an answer."""

    def __init__(self):
        self.has_head = self.is_whole = False
        self.body = b""
        self.error = None

    async def read(self, connection):
        try:
            await connection.head(0.0)
            self.has_head = True
            while (data := await connection.body(0.0)) is not None:
                self.body += data
            self.is_whole = True
        except SendError as error:
            self.error = type(error)


async def read_cut(cut, ending, step):
    """Give a connection the bytes before a cut, `step` at a time, and its end."""
    modes = []
    connection = open_connection(modes.append)
    connection.send(b"request", read_head)
    for start in range(0, len(cut.data), step):
        connection.data_received(cut.data[start : start + step])
    ending.end(connection)
    reading = Reading()
    await reading.read(connection)
    return connection, reading, modes


def is_whole(cut, ending):
    """Return whether a cut leaves nothing out, as far as its reader can know."""
    if cut.state is State.UNTIL_CLOSE:
        return ending is Ending.CLOSE
    return cut.state is State.NOTHING


async def check(cut, ending, step):
    connection, reading, modes = await read_cut(cut, ending, step)
    whole = is_whole(cut, ending)
    answered = connection.request_state().answered
    assert (reading.has_head, reading.body) == (cut.state.has_head, cut.body), cut
    assert (reading.is_whole, answered) == (whole, whole), cut
    assert reading.error is (None if whole else ConnectionBrokenError), cut
    assert modes == [CloseMode.ORDERLY if whole else CloseMode.RESET], cut
    until_close = cut.state is State.UNTIL_CLOSE
    assert connection.ended_by_close == (whole and until_close), cut
    assert not connection.reusable, cut


def check_all(parts, ending, step):
    async def test():
        for cut in cuts(parts):
            await check(cut, ending, step)

    asyncio.run(test())


@pytest.mark.parametrize("step", [1, 10_000])
@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
class TestConnections:
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("before", BEFORE)
    def test_only_a_whole_answer_counts_as_answered(
        self, before, framing, ending, step
    ):
        """Guard against calls that count as answered by a part of their answer."""
        parts = [*BEFORE[before], *FRAMINGS[framing](*EVENTS)]
        check_all(parts, ending, step)

    @pytest.mark.parametrize("before", BEFORE)
    def test_the_end_of_another_calls_answer_answers_nothing(
        self, before, ending, step
    ):
        """Guard against calls that count as answered by a late answer's end."""
        check_all([*BEFORE[before], LATE_UNDELIMITED], ending, step)

    @pytest.mark.parametrize("before", list(BEFORE)[1:])
    def test_heads_without_an_answer_behind_them_answer_nothing(
        self, before, ending, step
    ):
        """Guard against an end behind a 1xx head that counts as an answer's end."""
        check_all(BEFORE[before], ending, step)

    def test_a_close_behind_an_answer_without_a_body_does_not_end_it(
        self, ending, step
    ):
        """Guard against a look at the server of each answer that has no body."""
        check_all([Part(b"HTTP/1.1 204 N\r\n\r\n", State.HEAD)], ending, step)

    def test_a_close_after_an_invalid_answer_answers_nothing(self, ending, step):
        """Guard against calls that count as answered once their answer was refused."""

        async def test():
            connection = open_connection()
            connection.send(b"request", read_head)
            connection.data_received(9 * early_hints().data)
            ending.end(connection)
            assert not connection.request_state().answered
            assert connection.close_mode is CloseMode.RESET
            assert not connection.ended_by_close

        asyncio.run(test())


async def call_cut(path, cut, ending):
    """Call a server that cuts its answer; return the caller and the servers."""
    bed = Bed()
    service = "ledger" if path in (SAFE, UNSAFE) else "drafting"
    server = CutServer(bed, cut, ending, service)
    caller = await bed.call(path, REQUEST_ID, method="POST", body=b"p")
    await bed.close()
    return caller, server


SAFE, UNSAFE, STREAM, RESUMABLE = "/look/1", "/post/1", "/sms/1", "/draft/1"


def events_of(cut):
    """Return the whole events before a cut."""
    end = cut.body.rfind(b"\n\n")
    return cut.body[: end + 2] if end >= 0 else b""


def expected(path, cut, ending):
    """Return the status, the body and the wholeness that the caller may get."""
    whole = is_whole(cut, ending)
    events = events_of(cut) if cut.state.has_head else b""
    if path in (STREAM, RESUMABLE):
        whole = whole and events == cut.body and bool(events)
    if whole:
        return 200, cut.body, True
    if path in (SAFE, RESUMABLE):
        return 200, WHOLE_BODY, True
    if path == STREAM and events:
        return 200, events, False
    return 502, None, True


class TestCallers:
    @pytest.mark.parametrize("path", [SAFE, UNSAFE, STREAM, RESUMABLE])
    @pytest.mark.parametrize("ending", Ending)
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("before", ["nothing", "103", "late"])
    def test_no_part_of_an_answer_is_shown_as_the_whole(
        self, before, framing, ending, path
    ):
        """Guard against short answers that callers take for whole ones."""

        async def test():
            for cut in cuts([*BEFORE[before], *FRAMINGS[framing](*EVENTS)]):
                if before != "nothing" and not cut.is_at_border:
                    continue  # each byte of it is cut at the connection above
                caller, server = await call_cut(path, cut, ending)
                status, body, whole = expected(path, cut, ending)
                assert (caller.status, caller.whole) == (status, whole), cut
                assert caller.broken == (not whole), cut
                assert body is None or caller.body == body, cut
                if not is_whole(cut, ending) and cut.state is not State.UNTIL_CLOSE:
                    assert server.modes[0] is CloseMode.RESET, cut
                assert not server.is_reused, cut
                if path in (UNSAFE, STREAM):
                    crashed = ending is Ending.CRASH and not is_whole(cut, ending)
                    assert server.asked == ["cut"], cut
                    assert server.charged_crashes == crashed, cut

        asyncio.run(test())


LISTING = b'{"At": 7, "Entries": [{"Key": "a/b", "Revision": 7, "Data": "e30="}]}'
"""A store's reply of one page."""


async def list_store(cut, ending, monkeypatch):
    """List a store whose reply is cut; return None if it can't be used."""
    connection = open_connection()

    def reply(request):
        if cut.data:
            connection.data_received(cut.data)
        ending.end(connection)

    async def connect(client):
        connection._transport.on_write = reply
        return connection

    monkeypatch.setattr(HttpClient, "_connect", connect)
    try:
        return await PlatformStore("h", 1).list_all()
    except StoreError:
        return None


class TestStore:
    @pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("before", ["nothing", "103"])
    def test_no_part_of_a_listing_is_used(self, before, framing, ending, monkeypatch):
        """Guard against servers that a router forgets as a listing was cut off."""

        async def test():
            parts = FRAMINGS[framing](LISTING[:30], LISTING[30:])
            for cut in cuts([*BEFORE[before], *parts]):
                listing = await list_store(cut, ending, monkeypatch)
                complete = is_whole(cut, ending) and cut.body == LISTING
                assert (listing is not None) == complete, cut
                assert listing is None or [row.key for row in listing.items] == ["a/b"]

        asyncio.run(test())

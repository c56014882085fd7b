"""Exchange placement messages with the other routers in tasks of their own."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import anyio

from fulmarroad.supervision import continue_on_error
from fulmarroad.types import RouterName
from fulmarroad_serving._granting import AddressedReply, Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_messages import (
    PROGRESS_FORMAT,
    REPLY_FORMAT,
    REQUEST_FORMAT,
    PlacementRequest,
    ProgressReport,
    pack_reply,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._timers import sleep_and_read, wait_at_most
from fulmarroad_serving.engines._pace import SCAN_S
from fulmarroad_serving.engines._pace_messages import PACE_FORMAT, read_pace

NOTES_DELAY_S = 0.003
"""Time for which progress is collected into one packet: less than an engine step."""

RETRY_S = 0.05
"""Pause after decisions that failed; they are due again at once."""

HELD_LIST_INTERVAL_S = 0.5
"""Time between two lists of granted calls, which replace progress that was lost."""

Send = Callable[[bytes, str], None]
"""Send a packet to a host."""


def is_owner_message(row: object) -> bool:
    """Return whether an unpacked packet is about placements."""
    formats = (REQUEST_FORMAT, REPLY_FORMAT, PROGRESS_FORMAT, PACE_FORMAT)
    return isinstance(row, list) and bool(row) and row[0] in formats


class OwnerExchange:
    """Deliver placement messages to the client and to the granter of this router."""

    def __init__(
        self,
        client: OwnerClient,
        granter: Granter,
        hosts: Callable[[], Mapping[RouterName, str]],
        incarnations: Callable[[], Mapping[RouterName, int]],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._granter = granter
        self._hosts = hosts
        self._incarnations = incarnations
        self._clock = clock
        self._send: Send = lambda data, host: None
        self._notes_due = anyio.Event()
        self._due_changed = anyio.Event()
        self._answer_begun = anyio.Event()
        client.pace.on_begin = self._trigger_pace
        client.send = self._send_to
        client.local = self
        client.on_notes = self._trigger_notes

    def receive(self, row: Any, host: str) -> None:
        """Apply a message; raise `MessageError` if it is not valid."""
        now = self._clock()
        if row[0] == REQUEST_FORMAT:
            answer = self._granter.receive_request(read_request(row), now)
            self._send(pack_reply(answer.reply), host)
            self._trigger_decisions()
        elif row[0] == REPLY_FORMAT:
            reply = read_reply(row)
            self._client.receive_reply(reply)
        elif row[0] == PACE_FORMAT:
            self._client.receive_pace(read_pace(row), now)
        else:
            self.receive_progress(read_progress(row))

    def receive_request(self, request: PlacementRequest) -> None:
        """Decide on a request of this router itself."""
        answer = self._granter.receive_request(request, self._clock())
        self._client.receive_reply(answer.reply)
        self._trigger_decisions()

    def receive_progress(self, report: ProgressReport) -> None:
        """Apply what a router reports, which may be this one."""
        self._granter.receive_progress(report, self._clock())
        self._trigger_decisions()

    async def run(self, send: Send) -> None:
        """Send what becomes due until cancelled."""
        self._send = send
        async with anyio.create_task_group() as group:
            group.start_soon(self._decide_held)
            group.start_soon(self._send_notes)
            group.start_soon(self._keep_in_step)
            group.start_soon(self._report_pace)

    async def _decide_held(self) -> None:
        while True:
            self._due_changed = anyio.Event()
            due = self._granter.next_due
            if due is None:
                await self._due_changed.wait()
                continue
            delay_s = due - self._clock()
            if delay_s > 0:
                await wait_at_most(self._due_changed, delay_s)
                continue
            with continue_on_error("held requests"):
                self._send_replies(self._granter.decide_held(self._clock()))
                continue
            await anyio.sleep(RETRY_S)

    async def _send_notes(self) -> None:
        while True:
            await self._notes_due.wait()
            await anyio.sleep(NOTES_DELAY_S)
            self._notes_due = anyio.Event()
            with continue_on_error("progress"):
                for owner, data in self._client.pop_notes():
                    self._send_to(owner, data)

    async def _keep_in_step(self) -> None:
        """Replace progress that was lost, and drop the calls of lost routers."""
        while True:
            await sleep_and_read(HELD_LIST_INTERVAL_S)
            with continue_on_error("granted calls"):
                for owner, data in self._client.held_lists():
                    self._send_to(owner, data)
            with continue_on_error("lost routers"):
                incarnations = self._incarnations()
                self._client.adopt_from_lost(incarnations)
                self._granter.forget_routers(incarnations, self._clock())
            with continue_on_error("slow servers"):
                self._client.tell_slow_changes(self._clock())

    async def _report_pace(self) -> None:
        """Report servers whose answers pause, while any answer runs here."""
        pace = self._client.pace
        while True:
            if not pace.has_answers:
                self._answer_begun = anyio.Event()
                await self._answer_begun.wait()
            await anyio.sleep(SCAN_S)
            with continue_on_error("pauses"):
                for owner, data in self._client.pace_reports():
                    self._send_to(owner, data)

    def _send_replies(self, replies: Iterable[AddressedReply]) -> None:
        for row in replies:
            if row.router == self._client.me:
                self._client.receive_reply(row.reply)
            else:
                self._send_to(row.router, pack_reply(row.reply))

    def _send_to(self, router: RouterName, data: bytes) -> None:
        host = self._hosts().get(router)
        if host is not None:
            self._send(data, host)

    def _trigger_decisions(self) -> None:
        """Let held requests be decided on as soon as that is due now."""
        if self._granter.next_due is not None:
            self._due_changed.set()

    def _trigger_notes(self) -> None:
        self._notes_due.set()

    def _trigger_pace(self) -> None:
        self._answer_begun.set()

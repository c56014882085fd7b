"""Exchange with a backend server: send a call and forward its answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from fulmarroad_serving._catalog import CallKind
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._demands import Ticket
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._registry import UNKNOWN_VERSION, Instance
from fulmarroad_serving._rests import read_rest_s
from fulmarroad_serving._served_call import ActiveCall, ServedCall
from fulmarroad_serving._silence import MIN_WAIT_S, SilentCall, leave_at
from fulmarroad_serving._stream import EventSplitter, StreamEvents
from fulmarroad_serving._suspects import MAX_SUSPECT_ANSWERING_S
from fulmarroad_serving._timers import READ_GRACE_S
from fulmarroad_serving.contracts import AnswerHead, CallCodec
from fulmarroad_serving.exceptions import (
    BrokenAnswerError,
    ConnectionBrokenError,
    FailedAnswerError,
    NotRunError,
    OtherInstanceError,
    RestingServerError,
    SilentServerError,
)

MAX_BUFFERED_BYTES = 256 * 1024
"""Answers up to this size are read completely before their head is forwarded, so that
a call whose answer breaks off can be retried or reported as failed instead of ending in
a truncated answer."""

END_CHECK_INTERVAL_S = 1.0
"""Time between two looks whether a silent server refuses connections by now."""

LOOK_INTERVAL_S = 0.2
"""Time between two looks whether a call may leave a silent server."""

REFUSING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that callers read as a promise that the call has not run."""

STATUS_MISDIRECTED = 421

RESTING_STATUSES = frozenset({429, 503})
"""Statuses with which a server that refuses a call may ask for rest."""

FIRST_FAILURE_STATUS = 500

StreamBegun = Callable[[ServedCall, str, float], None]
"""Be told of a stream's software version and the time, just before its first event."""

HasCrashed = Callable[[Instance, float], Awaitable[bool]]
"""Find out whether a server crashed at a time."""

Part = TypeVar("Part")

Read = Callable[[float], Awaitable[Part]]
"""Return what comes next of an answer; raise `SilentServerError` after a timeout."""

ReserveNext = Callable[[ActiveCall, Ticket, BackendConnection], Awaitable[bool]]
"""Get all that a call needs to go on at another server; return whether it has it."""


class Exchanger:
    """Perform one exchange for each send of a call."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        codec: CallCodec,
        clock: Callable[[], float],
        on_stream_begun: StreamBegun,
        has_crashed: HasCrashed,
        refuses: HasCrashed,
        reserve_next: ReserveNext,
    ) -> None:
        self._refuses = refuses
        self._reserve_next = reserve_next
        self._has_crashed = has_crashed
        self._dispatcher = dispatcher
        self._codec = codec
        self._clock = clock
        self._on_stream_begun = on_stream_begun

    async def exchange(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        instance: Instance,
        ticket: Ticket,
    ) -> None:
        """Send a call and forward its answer.

        Raises `SendError` if the answer is not complete.
        """
        request = self._request_bytes(run, instance, ticket.source)
        request_id = run.call.head.request_id

        def read_head(status: int, headers: object) -> AnswerHead | None:
            head = self._codec.read_answer(status, headers)  # type: ignore[arg-type]
            matches = not head.request_id or head.request_id == request_id
            return head if matches else None

        connection.send(request, read_head)
        head = await self._read(run, connection, ticket, instance, connection.head)
        contact = connection.contact
        run.summary.connected_s = contact.heard_at - contact.opened_at
        self._dispatcher.registry.note_contact(instance, contact)
        self._check_head(head, instance)
        if run.call.route.kind is CallKind.STREAM and head.status < 300:
            await self._forward_stream(run, connection, head, ticket, instance)
        else:
            await self._forward_buffered(run, connection, head, ticket, instance)

    def _request_bytes(
        self, run: ActiveCall, instance: Instance, source: Instance | None
    ) -> bytes:
        call = run.call
        headers = self._codec.server_headers(
            call.head,
            instance=instance.id,
            workspace=call.workspace,
            remaining_s=run.remaining_s(self._clock()),
            last_event_id=run.progress.last_event_id or call.head.last_event_id,
            source=source,
        )
        lines = [call.method.encode() + b" " + call.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if call.has_body:
            lines.append(b"content-length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def _check_head(self, head: AnswerHead, instance: Instance) -> None:
        if head.status == STATUS_MISDIRECTED and head.instance == instance.id:
            # The call asked for something that this server doesn't have, such as
            # another version of its weights.
            raise NotRunError("The server doesn't have what the call asks for.")
        if head.status == STATUS_MISDIRECTED:
            # Whatever else it says is about the server that has the address now.
            raise OtherInstanceError("Another backend server has the address.")
        now = self._clock()
        if head.warmup_left_s > 0:
            self._dispatcher.registry.mark_cold(instance.id, head.warmup_left_s, now)
        if head.leaving:
            self._dispatcher.note_leaving(instance.id, instance.started_ms, "answer")
        rest_s = 0.0
        if head.status in RESTING_STATUSES:
            rest_s = read_rest_s(instance.id, head.rest)
            self._dispatcher.note_rest(instance, rest_s, now)
        if head.not_run and rest_s > 0:
            raise RestingServerError("The server did not run the call and rests.")
        if head.not_run:
            raise NotRunError(
                f"The server did not run the call (status {head.status})."
            )
        if head.status in REFUSING_STATUSES:
            raise BrokenAnswerError(
                f"Status {head.status} does not say whether the call ran."
            )
        if head.status < 300 and not head.signed:
            raise BrokenAnswerError("The success answer lacks the server's signature.")
        if head.status < 300 and head.encoded:
            raise BrokenAnswerError("The body has an encoding that was not requested.")

    async def _forward_buffered(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        head: AnswerHead,
        ticket: Ticket,
        instance: Instance,
    ) -> None:
        parts: list[bytes] = []
        size = 0
        while (
            chunk := await connection.body(run.remaining_s(self._clock()))
        ) is not None:
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                self._note_begun(run, ticket)
                await self._forward_unbuffered(run, connection, head, parts, instance)
                return
        await self._check_end(connection, instance)
        self._note_begun(run, ticket)
        body = b"".join(parts)
        if head.status >= FIRST_FAILURE_STATUS:
            run.failed_answer = (head, body)
            raise FailedAnswerError(f"The server failed it (status {head.status}).")
        await self.answer(run, head, body)

    async def answer(self, run: ActiveCall, head: AnswerHead, body: bytes) -> None:
        """Forward an answer that was read completely."""
        run.summary.first_s = self._clock() - run.begun_at
        length = (b"content-length", str(len(body)).encode())
        await run.responder.begin(head.status, [*head.forward, length])
        await run.responder.finish(body)

    async def _forward_unbuffered(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        head: AnswerHead,
        parts: list[bytes],
        instance: Instance,
    ) -> None:
        run.progress.answer_begun = True
        await run.responder.begin(head.status, list(head.forward))
        for part in parts:
            await run.responder.send(part)
        while (
            chunk := await connection.body(run.remaining_s(self._clock()))
        ) is not None:
            await run.responder.send(chunk)
        await self._check_end(connection, instance)
        await run.responder.finish()

    async def _forward_stream(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        head: AnswerHead,
        ticket: Ticket,
        instance: Instance,
    ) -> None:
        events = EventSplitter()
        from_start = not (run.progress.last_event_id or run.call.head.last_event_id)
        while True:
            chunk = await self._read(run, connection, ticket, instance, connection.body)
            if chunk is None:
                break
            self._dispatcher.registry.note_contact(instance, connection.contact)
            whole = events.feed(chunk)
            if whole is not None:
                self._check_version(run, connection, ticket, instance)
                await self._forward_events(run, head, whole, ticket, instance)
        # Only a closed connection makes it ask whether the server crashed.
        error_type = (
            ConnectionBrokenError if connection.ended_by_close else BrokenAnswerError
        )
        if events.pending:
            raise error_type("The stream ended in the middle of an event.")
        if not run.responder.begun and not run.call.head.last_event_id:
            raise error_type("The stream ended before its first event.")
        await self._check_end(connection, instance)
        if not ticket.begun:
            self._check_version(run, connection, ticket, instance)
        ticket.complete = from_start
        if not run.responder.begun:
            # Its caller has every event and lacks only the end.
            run.summary.first_s = self._clock() - run.begun_at
            await run.responder.begin(head.status, list(head.forward))
        await run.responder.finish()

    async def _forward_events(
        self,
        run: ActiveCall,
        head: AnswerHead,
        whole: StreamEvents,
        ticket: Ticket,
        instance: Instance,
    ) -> None:
        arrived_at, server = self._clock(), instance.id
        pace = self._dispatcher.speeds.pace
        if ticket.begun:
            pace.note_event(server, id(ticket), arrived_at)
        else:
            self._dispatcher.speeds.watch_answer(ticket, arrived_at)
        self._note_begun(run, ticket)
        self._note_good_run(run, ticket)
        if not run.responder.begun:
            run.summary.first_s = self._clock() - run.begun_at
            run.progress.answer_begun = True
            await run.responder.begin(head.status, list(head.forward))
        ticket.events += whole.count
        await run.responder.send(whole.raw)
        pace.await_next(server, id(ticket), arrived_at, self._clock())
        if whole.last_id:
            run.progress.last_event_id = whole.last_id

    def _check_version(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        ticket: Ticket,
        instance: Instance,
    ) -> None:
        """Bind a stream to the version that writes it, before events are forwarded.

        Raise `BrokenAnswerError` if another version may go on with it.
        """
        begins = not run.responder.begun
        if run.proven is connection:
            return
        registry, now = self._dispatcher.registry, self._clock()
        writer = registry.writer_version(instance, connection.contact)
        if writer.is_proven:
            run.proven = connection
        if begins and not run.demand.version:
            if run.call.takes_up_stream and writer.version == UNKNOWN_VERSION:
                raise BrokenAnswerError("Another version than the stream's may answer.")
            run.origin = connection
        is_other = writer.version != run.demand.version
        if run.origin is connection:
            if begins or is_other:
                run.bind(writer.version)
                self._on_stream_begun(run.call, writer.version, now)
            return
        if is_other and (writer.is_proven or not ticket.begun):
            raise BrokenAnswerError("Another version than the stream's may answer.")
        if begins:
            self._on_stream_begun(run.call, run.demand.version, now)

    async def _check_end(
        self, connection: BackendConnection, instance: Instance
    ) -> None:
        """Raise `ConnectionBrokenError` if a crash may have cut off the answer.

        An answer with neither a length nor chunks ends with its connection, whole or
        not, so its server is looked at before the answer counts as complete.
        """
        if not connection.ended_by_close:
            return
        if await self._has_crashed(instance, self._clock()):
            raise ConnectionBrokenError("The server crashed as its answer ended.")

    def _note_begun(self, run: ActiveCall, ticket: Ticket) -> None:
        if not ticket.begun:
            now = self._clock()
            activity = self._dispatcher.activity(ticket.charge.server)
            activity.note_begun(id(ticket), ticket.charge.sent_at, now)
            run.summary.begun_s = now - ticket.charge.sent_at
            self._dispatcher.begin(ticket, now)

    def _note_good_run(self, run: ActiveCall, ticket: Ticket) -> None:
        """Clear a call that would have crashed its server by now."""
        now = self._clock()
        if ticket.begun_at is None:
            return
        if ticket.answered_s(now) >= MAX_SUSPECT_ANSWERING_S:
            run.suspects.note_good_run(ticket.begun_at, now)

    async def _read(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        ticket: Ticket,
        instance: Instance,
        read: Read[Part],
    ) -> Part:
        """Return the next part of an answer.

        Raise `SilentServerError` at the deadline, or as soon as a call that may leave
        its silent server has a place at another one. Until then it stays: its answer
        may still come, and a refusal elsewhere would lose it.
        """
        look_s = MIN_WAIT_S
        while True:
            remaining_s = run.remaining_s(self._clock())
            if remaining_s <= look_s or not run.progress.may_move:
                return await read(remaining_s)
            try:
                return await read(look_s)
            except SilentServerError:
                left_s = await self._until_leaving_s(run, connection, ticket, instance)
                if left_s <= 0 and await self._leaves(run, connection, ticket):
                    raise SilentServerError(
                        "The server sends nothing, and another one has a place."
                    ) from None
            look_s = min(left_s, LOOK_INTERVAL_S) if left_s > 0 else LOOK_INTERVAL_S

    async def _leaves(
        self, run: ActiveCall, connection: BackendConnection, ticket: Ticket
    ) -> bool:
        """Return whether a call whose server seems silent goes on elsewhere."""
        # The event loop may run timers before it reads what came while it was held up.
        await anyio.sleep(READ_GRACE_S)
        if connection.has_unread_part:
            return False
        return await self._reserve_next(run, ticket, connection)

    async def _until_leaving_s(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        ticket: Ticket,
        instance: Instance,
    ) -> float:
        """Return in how many seconds a call may leave its server; 0 or less: now."""
        now, route = self._clock(), run.call.route
        activity = self._dispatcher.activity(instance.id)
        call = SilentCall(
            ticket.charge.sent_at,
            max(ticket.charge.sent_at, connection.contact.heard_at),
            ticket.begun,
            run.call.deadline,
            route.objective_s,
            route.pause_objective_s,
            ticket.charge.expected_s,
        )
        left_s = leave_at(call, activity, now) - now
        if left_s > 0 and activity.is_silent(now):
            since = max(call.last_byte_at, now - END_CHECK_INTERVAL_S)
            return 0.0 if await self._refuses(instance, since) else left_s
        return left_s

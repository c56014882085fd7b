"""Carry one call to its end: place it, send it, hand its answer on, resume it.

The decisions are the dispatcher's and the call's own record; this module does what they
say and tells them what happened.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from attrs import define, field, frozen

from fulmarroad.events import Event, emit
from fulmarroad.types import Ran, RefusalReason, ServerName, WorkspaceName
from fulmarroad_router.asgi import Headers
from fulmarroad_router.exceptions import (
    AnswerBroken,
    OutcomeUnknown,
    Refused,
    TimedOut,
)
from fulmarroad_serving._attempts import CallProgress, SendOutcome
from fulmarroad_serving._catalog import CallKind, Catalog, ServedRoute, Service
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._dispatch import Demand, Dispatcher, Placement, Refusal, Ticket
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._shares import NO_USE, ShareUse
from fulmarroad_serving._stream import StreamEvents, WholeEvents
from fulmarroad_serving.contracts import AnswerHead, CallCodec, CallHead
from fulmarroad_serving.exceptions import (
    BrokenAnswerError,
    ConnectionsUsedError,
    FailedAnswerError,
    NotRunError,
    NotSentError,
    OtherInstanceError,
    SendError,
    SilentServerError,
)

logger = logging.getLogger("fulmarroad.serving")

HELD_BODY_BYTES = 256 * 1024
"""Answers up to this size are read whole before their head goes on, so that one that
breaks off can still be repeated or told as a failure instead of being cut."""

FIRST_EVENT_OBJECTIVES = 2.5
"""Multiple of the objective after which a silent server is given up, where the call may
go on elsewhere: late already, and callers leave after about four."""

LEAST_SILENCE_S = 0.7
"""Silence that is never taken as a failure: a lost packet is sent again within it."""

PAUSE_OBJECTIVES = 4.0
"""Multiple of the promised pause after which a stream goes on elsewhere."""

REFUSING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a call has not run."""

STATUS_MISDIRECTED = 421
FIRST_FAILURE_STATUS = 500
MISSED_RETRY_S = 0.5
"""Return after a call that every server tried refused: queues move in this time."""


class Responder(Protocol):
    """Carry an answer to the caller, waiting where the caller reads slowly."""

    @property
    def begun(self) -> bool:
        """Tell whether the head of the answer has been sent."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, last: bytes = b"") -> None:
        """End the answer as whole."""


@frozen
class ServedCall:
    """Hold a call that was read whole and may be served."""

    head: CallHead
    method: str
    target: bytes
    body: bytes
    route: ServedRoute
    service: str
    workspace: WorkspaceName
    deadline: float
    """When the caller or the route gives it up, by the router's clock."""
    has_body: bool = True
    rank: int = 0


@define
class CallSummary:
    """Collect what a call's last log line says."""

    server: ServerName = ""
    sends: int = 0
    first_s: float = 0.0
    cached: bool | None = None
    copies: int = 0  # servers that had its part
    use: ShareUse = NO_USE
    wait_s: float = 0.0
    read_tokens: int = 0  # of its prompt, as far as known not cached at the server
    expected_s: float = 0.0  # from sending to the first part, as estimated
    begun_s: float = 0.0  # the same, as seen


@define
class _Run:
    """Hold one call while it is carried."""

    call: ServedCall
    responder: Responder
    demand: Demand
    progress: CallProgress
    summary: CallSummary
    begun_at: float
    signed_head: AnswerHead | None = None
    avoid: set[ServerName] = field(factory=set)
    failed_answer: tuple[AnswerHead, bytes] | None = None


class Forwarder:
    """Carry calls to backend servers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        codec: CallCodec,
        catalog: Callable[[], Catalog],
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._codec = codec
        self._catalog = catalog
        self._clock = clock

    async def run(
        self, call: ServedCall, responder: Responder, summary: CallSummary
    ) -> None:
        """Answer a call, or raise `CallError`."""
        now = self._clock()
        run = _Run(
            call,
            responder,
            demand_of(call),
            CallProgress(call.route.repeatable, call.route.max_attempts),
            summary,
            now,
        )
        self._dispatcher.note_asked(run.demand, now)
        error: SendError | None = None
        while True:
            if error is not None and not self._may_go_on(run):
                await self._give_up(run, error)
                return
            placement = self._place(run)
            if isinstance(placement, Refusal):
                await self._refuse(run, placement, error)
                return
            error = await self._attempt(run, placement)
            if error is None:
                return

    def _may_go_on(self, run: _Run) -> bool:
        if not run.progress.may_send or self._left(run) <= 0:
            return False
        if not run.progress.is_repeat:
            return True
        return self._dispatcher.take_retry(run.demand.service, self._clock())

    def _place(self, run: _Run) -> Placement | Refusal:
        placement = self._dispatcher.place(run.demand, self._clock(), avoid=run.avoid)
        if isinstance(placement, Refusal):
            run.summary.wait_s, run.summary.use = placement.wait_s, placement.use
        else:
            choice = placement.choice
            run.summary.server, run.summary.cached = choice.server, choice.cached
            run.summary.wait_s, run.summary.use = choice.wait_s, placement.use
            run.summary.read_tokens = choice.tokens
            run.summary.copies = choice.copies
            run.summary.expected_s = choice.wait_s + choice.read_s
        return placement

    async def _attempt(self, run: _Run, placement: Placement) -> SendError | None:
        """Send a call once; return why it brought no whole answer, if it did not."""
        instance = placement.registered.instance
        try:
            connection = await self._acquire(instance, run)
        except NotSentError as error:
            if not isinstance(error, ConnectionsUsedError):
                self._dispatcher.trust(instance.id).unreachable(self._clock())
            self._note_failure(run, instance.id, error)
            return error
        if self._left(run) <= 0:
            # The process or its VM stood still meanwhile, and the caller has left. Sent
            # now, the call would run for nobody, and one that books or posts would do
            # so after its caller was told nothing.
            self._pool.release(instance.id, connection)
            late = NotSentError("The call's time ran out before it could be sent.")
            self._note_failure(run, instance.id, late)
            return late
        ticket = self._dispatcher.send(run.demand, placement, self._clock())
        run.progress.note_send(instance.id)
        run.summary.sends = run.progress.sends
        outcome: SendOutcome | None = None
        try:
            await self._exchange(run, connection, instance, ticket)
        except SendError as error:
            outcome = error.outcome
            self._on_failure(run, instance, error)
            return error
        finally:
            # A connection whose answer was not read to its end is closed here, which
            # also cancels the work at the server when the caller has left.
            self._pool.release(instance.id, connection)
            self._dispatcher.end(ticket, outcome, self._clock())
        return None

    async def _acquire(self, instance: Instance, run: _Run) -> BackendConnection:
        service = self._service(run)
        routers = len(self._dispatcher.routers)
        return await self._pool.acquire(instance, service.max_connections, routers)

    def _on_failure(self, run: _Run, instance: Instance, error: SendError) -> None:
        now = self._clock()
        if isinstance(error, OtherInstanceError):
            # The address belongs to another server: this one is gone.
            self._dispatcher.registry.remove(instance.id, now)
        elif isinstance(error, BrokenAnswerError):
            self._dispatcher.registry.suspect(instance.id, now)
        self._note_failure(run, instance.id, error)

    def _note_failure(self, run: _Run, server: ServerName, error: SendError) -> None:
        run.progress.note_outcome(error.outcome, server)
        run.avoid.add(server)
        emit(
            logger,
            Event.SEND_FAILED,
            request_id=run.call.head.request_id,
            server=server,
            outcome=error.outcome.value,
            cause=error.message,
            sends=run.progress.sends,
            event_id=run.progress.last_event_id,
        )

    # one exchange

    async def _exchange(
        self,
        run: _Run,
        connection: BackendConnection,
        instance: Instance,
        ticket: Ticket,
    ) -> None:
        request = self._request_bytes(run, instance, ticket.source)
        request_id = run.call.head.request_id

        def read_head(status: int, headers: object) -> AnswerHead | None:
            head = self._codec.read_answer(status, headers)  # type: ignore[arg-type]
            mine = not head.request_id or head.request_id == request_id
            return head if mine else None

        connection.send(request, read_head)
        head = await connection.head(self._silence_s(run))
        self._check_head(head, instance)
        if run.call.route.kind is CallKind.STREAM and head.status < 300:
            await self._pass_stream(run, connection, head, ticket)
        else:
            await self._pass_whole(run, connection, head, ticket)

    def _request_bytes(
        self, run: _Run, instance: Instance, source: Instance | None
    ) -> bytes:
        call = run.call
        headers = self._codec.server_headers(
            call.head,
            instance=instance.id,
            workspace=call.workspace,
            remaining_s=self._left(run),
            last_event_id=run.progress.last_event_id or call.head.last_event_id,
            source=source,
        )
        lines = [call.method.encode() + b" " + call.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if call.has_body:
            lines.append(b"content-length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def _check_head(self, head: AnswerHead, instance: Instance) -> None:
        if head.warmup_left_s > 0:
            now = self._clock()
            self._dispatcher.registry.chill(instance.id, head.warmup_left_s, now)
        if head.status == STATUS_MISDIRECTED:
            raise OtherInstanceError("Another backend server has the address.")
        if head.not_run:
            raise NotRunError(f"The server did not run it (status {head.status}).")
        if head.status in REFUSING_STATUSES:
            raise BrokenAnswerError(
                f"Status {head.status} does not say whether the call ran."
            )
        if head.status < 300 and not head.signed:
            raise BrokenAnswerError("A success without the server's signature.")
        if head.status < 300 and head.encoded:
            raise BrokenAnswerError("A body in an encoding that was not asked for.")

    async def _pass_whole(
        self,
        run: _Run,
        connection: BackendConnection,
        head: AnswerHead,
        ticket: Ticket,
    ) -> None:
        parts: list[bytes] = []
        size = 0
        while (chunk := await connection.body(self._left(run))) is not None:
            parts.append(chunk)
            size += len(chunk)
            if size > HELD_BODY_BYTES:
                await self._pass_large(run, connection, head, parts)
                return
        self._note_begun(run, ticket)
        body = b"".join(parts)
        if head.status >= FIRST_FAILURE_STATUS:
            run.failed_answer = (head, body)
            raise FailedAnswerError(f"The server failed it (status {head.status}).")
        await self._answer(run, head, body)

    async def _answer(self, run: _Run, head: AnswerHead, body: bytes) -> None:
        run.summary.first_s = self._clock() - run.begun_at
        length = (b"content-length", str(len(body)).encode())
        await run.responder.begin(head.status, [*head.forward, length])
        await run.responder.finish(body)

    async def _pass_large(
        self,
        run: _Run,
        connection: BackendConnection,
        head: AnswerHead,
        parts: list[bytes],
    ) -> None:
        run.progress.answer_begun = True
        await run.responder.begin(head.status, list(head.forward))
        for part in parts:
            await run.responder.send(part)
        while (chunk := await connection.body(self._left(run))) is not None:
            await run.responder.send(chunk)
        await run.responder.finish()

    async def _pass_stream(
        self,
        run: _Run,
        connection: BackendConnection,
        head: AnswerHead,
        ticket: Ticket,
    ) -> None:
        events = WholeEvents()
        while True:
            chunk = await connection.body(self._silence_s(run))
            if chunk is None:
                break
            whole = events.feed(chunk)
            if whole is not None:
                await self._pass_events(run, head, whole, ticket)
        if events.pending:
            raise BrokenAnswerError("The stream ended in the middle of an event.")
        if not run.responder.begun:
            raise BrokenAnswerError("The stream ended before its first event.")
        await run.responder.finish()

    async def _pass_events(
        self, run: _Run, head: AnswerHead, whole: StreamEvents, ticket: Ticket
    ) -> None:
        self._note_begun(run, ticket)
        if not run.responder.begun:
            run.summary.first_s = self._clock() - run.begun_at
            run.progress.answer_begun = True
            await run.responder.begin(head.status, list(head.forward))
        await run.responder.send(whole.raw)
        if whole.last_id:
            run.progress.last_event_id = whole.last_id

    def _note_begun(self, run: _Run, ticket: Ticket) -> None:
        if not ticket.begun:
            now = self._clock()
            run.summary.begun_s = now - ticket.charge.sent_at
            self._dispatcher.begin(ticket, now)

    # ends

    async def _give_up(self, run: _Run, error: SendError) -> None:
        """Tell the caller the truth about a call that brought no answer."""
        if run.responder.begun:
            raise AnswerBroken("The answer broke off and could not be resumed.")
        if run.failed_answer is not None:
            head, body = run.failed_answer
            await self._answer(run, head, body)
            return
        if run.progress.ran is Ran.NOT_RUN:
            raise Refused(RefusalReason.WAIT_TOO_LONG, MISSED_RETRY_S)
        if self._left(run) <= 0 or isinstance(error, SilentServerError):
            raise TimedOut("The call was sent and brought no answer in time.")
        raise OutcomeUnknown("The call was sent and its answer was lost.")

    async def _refuse(
        self, run: _Run, refusal: Refusal, error: SendError | None
    ) -> None:
        if error is not None and run.progress.ran is not Ran.NOT_RUN:
            await self._give_up(run, error)
            return
        raise Refused(refusal.reason, refusal.retry_after_s)

    # times

    def _left(self, run: _Run) -> float:
        return run.call.deadline - self._clock()

    def _silence_s(self, run: _Run) -> float:
        """Return how long a server may be silent now.

        A call that can't go on elsewhere waits until its deadline: ending it sooner
        would lose an answer that may still come.
        """
        left = max(0.0, self._left(run))
        route, progress = run.call.route, run.progress
        if not progress.repeatable or progress.sends >= progress.max_attempts:
            return left
        if progress.answer_begun:
            limit = PAUSE_OBJECTIVES * route.pause_objective_s
        else:
            limit = FIRST_EVENT_OBJECTIVES * route.objective_s
        return min(left, max(LEAST_SILENCE_S, limit))

    def _service(self, run: _Run) -> Service:
        services = self._catalog().services
        return services.get(run.demand.service) or Service(run.demand.service)


def demand_of(call: ServedCall) -> Demand:
    """Return what placement needs to know of a call."""
    head = call.head
    return Demand(
        head.request_id,
        call.service,
        call.workspace,
        call.route.objective_s,
        head.part if call.route.prefix_affinity else "",
        head.shared_tokens,
        head.own_tokens,
        head.output_tokens,
        call.rank,
    )

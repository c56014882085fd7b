"""Run one call: wait for a lease, send it, stream the answer, account for it.

What may be tried again is decided here. A call of which no byte was sent may always
be tried elsewhere; one that was sent only if its route says that it may be repeated;
one whose answer has begun only by resuming it where the engine can.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import anyio
from attrs import define

from fulmarroad.coordination import (
    Ask,
    Coordinator,
    Granted,
    Lease,
    NoteFinished,
    NoteProgress,
    NoteStarted,
)
from fulmarroad.events import Event, emit
from fulmarroad.messages import Finished
from fulmarroad.ownership import short_name
from fulmarroad.tables import CostUnit, Pool, PoolKind
from fulmarroad.types import Outcome, RefusalReason
from fulmarroad_router.admitting import AdmissionController
from fulmarroad_router.backend import (
    BackendClient,
    BackendResponse,
    FailedAfterSend,
    FailedBeforeSend,
    Headers,
    TimedOutAfterSend,
)
from fulmarroad_router.calls import (
    Call,
    cached_blocks,
    prefix_hashes,
    response_headers,
)
from fulmarroad_router.exceptions import (
    AnswerBroken,
    CallError,
    OutcomeUnknown,
    Refused,
    TimedOut,
)
from fulmarroad_router.metering import Meter
from fulmarroad_router.sse import EventSplitter, EventTooLarge, StreamEvent, parse_usage

logger = logging.getLogger("fulmarroad.router")

PROGRESS_S = 0.1
"""Service is told to the coordinator this often, not for each token."""

EARLY_CHUNKS = 16
"""Chunks after which a running answer says how its server does: enough for a mean of
their gaps, and about a second of an answer that takes ten."""

MAX_TRIES = 4
"""Tries of one call at all, so that one request can't roam the whole fleet."""

MAX_USAGE_BYTES = 256 * 1024
REFUSED_STATUS = {429, 503}
"""Answers by which a backend server says that it took no work on."""

FAILED_STATUS = {500, 502, 504}
"""Answers by which a backend server says that it failed."""


class Responder(Protocol):
    """Carry an answer to the caller, waiting where the caller reads slowly."""

    @property
    def begun(self) -> bool:
        """Tell whether the head of the answer has been sent."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head."""

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the answer as whole."""


@define
class _Progress:
    """Hold how far the answer has got to the caller, over all tries."""

    tokens: int = 0
    done: bool = False
    sent: bool = False
    failed: tuple[str, ...] = ()
    tries: int = 0


class Execution:
    """Run calls with leases from the coordinator."""

    def __init__(
        self,
        coordinator: Coordinator,
        backends: BackendClient,
        admission_controller: AdmissionController,
        clock: Callable[[], float],
        name: str,
    ) -> None:
        """Take what surrounds the task; `name` is this start of this router."""
        self._coordinator = coordinator
        self._backends = backends
        self._admission_controller = admission_controller
        self._clock = clock
        self._sequence = 0
        self._prefix = short_name(name)

    async def run(self, call: Call, responder: Responder) -> None:
        """Carry one call to its end; raise `CallError` for lack of a whole answer."""
        progress = _Progress()
        while not progress.done:
            lease = await self._lease(call, progress)
            progress.tries += 1
            self._admission_controller.begin(call)
            try:
                with anyio.CancelScope(shield=call.continues_after_disconnect):
                    await self._try(call, lease, responder, progress)
            finally:
                self._admission_controller.end(call)

    async def _lease(self, call: Call, progress: _Progress) -> Lease:
        ask = self._ask(call, progress)
        try:
            self._admission_controller.admit(
                call, ask.demand_id, first=not progress.tries
            )
            answer = await self._coordinator.request(ask)
        except Refused as refused:
            raise self._refusal(refused, progress) from refused
        finally:
            self._admission_controller.leave(ask.demand_id)
        if isinstance(answer, Granted):
            return answer.lease
        raise self._refusal(Refused(answer.reason, answer.retry_after_s), progress)

    def _ask(self, call: Call, progress: _Progress) -> Ask:
        self._sequence += 1
        return Ask(
            demand_id=f"{self._prefix}{self._sequence:x}",
            pool=call.pool.name,
            workspace=call.workspace.name,
            weight=call.workspace.weight,
            cost_hint=call.cost_hint,
            arrived=call.arrived,
            deadline=call.deadline,
            prefix=prefix_hashes(call.chat.prompt),
            repeatable=call.route.repeatable,
            avoid=self._avoided(call, progress),
        )

    def _refusal(self, refused: Refused, progress: _Progress) -> CallError:
        """Return a refusal, which is "not run" only if no try was ever sent."""
        if progress.tokens:
            return AnswerBroken("The answer broke off and could not be resumed.")
        if progress.sent:
            return OutcomeUnknown(
                "The call was sent and broke off, and no backend server was free "
                "to repeat it; it may have run."
            )
        return refused

    def _avoided(self, call: Call, progress: _Progress) -> tuple[str, ...]:
        """Return the servers that failed this call, unless all of the pool did."""
        others = {server.name for server in call.pool.servers} - set(progress.failed)
        return progress.failed if others else ()

    async def _try(
        self, call: Call, lease: Lease, responder: Responder, progress: _Progress
    ) -> None:
        meter = Meter(self._clock, progress.tokens, prompt_tokens=call.prompt_tokens)
        outcome = Outcome.CANCELLED
        try:
            with anyio.fail_after(max(0.0, call.deadline - self._clock())):
                status = await self._send(call, lease, responder, progress, meter)
            outcome = _outcome_of(call.pool, status)
        except FailedBeforeSend as error:
            outcome = Outcome.UNREACHABLE
            self._retry_unsent(call, lease, progress, error)
        except (TimedOutAfterSend, TimeoutError) as error:
            outcome = Outcome.TIMED_OUT
            self._retry_sent(call, lease, responder, progress, error)
        except (FailedAfterSend, EventTooLarge) as error:
            outcome = Outcome.FAILED
            self._retry_sent(call, lease, responder, progress, error)
        finally:
            self._report(call, lease, meter, outcome)

    async def _send(
        self,
        call: Call,
        lease: Lease,
        responder: Responder,
        progress: _Progress,
        meter: Meter,
    ) -> int:
        resume_from = progress.tokens if progress.tokens else None
        request = call.backend_request(lease.server.address, resume_from)
        meter.sent = self._clock()
        if call.may_send is not None and not call.may_send(meter.sent):
            raise FailedBeforeSend(
                "The permission to send this key's call has run out."
            )
        self._coordinator.send_command(NoteStarted(lease.lease_id))
        repeatable = call.route.repeatable
        backend = self._backends.call(
            call.pool, lease.server, request, repeatable=repeatable
        )
        call.sent = True  # taken back where no byte left
        async with backend as response:
            self._check_answer(call, response, progress)
            if _is_events(response):
                await self._stream(call, lease, response, responder, progress, meter)
            else:
                await self._copy(call, lease, response, responder, meter)
        progress.done = True
        return response.status

    def _check_answer(
        self, call: Call, response: BackendResponse, progress: _Progress
    ) -> None:
        """Refuse an answer that belongs to another request, or is no resumption."""
        echoed = response.header(b"x-request-id").decode("latin-1")
        if echoed and echoed != call.request_id:
            raise FailedAfterSend("The backend server answered another request.")
        failed = response.status in REFUSED_STATUS | FAILED_STATUS
        if failed and call.route.repeatable and progress.tries < MAX_TRIES:
            raise FailedAfterSend(f"The backend server answered {response.status}.")
        if progress.tokens and not _is_events(response):
            raise FailedAfterSend("The engine did not resume the answer.")

    async def _stream(
        self,
        call: Call,
        lease: Lease,
        response: BackendResponse,
        responder: Responder,
        progress: _Progress,
        meter: Meter,
    ) -> None:
        """Pass events on one by one; only `[DONE]` makes the answer whole."""
        splitter = EventSplitter()
        reported = meter.sent
        unreported = 0
        done = judged = False
        async for chunk in response.chunks():
            for event in splitter.feed(chunk):
                unreported += event.tokens
                await self._pass_on(event, response, responder, progress, meter)
                done = done or event.done
            now = self._clock()
            if not judged and meter.chunks >= EARLY_CHUNKS:
                judged = True
                self._note_progress(lease, unreported, meter)
                reported, unreported = now, 0
            elif unreported and now - reported >= PROGRESS_S:
                self._note_progress(lease, unreported)
                reported, unreported = now, 0
        if not done:
            raise FailedAfterSend("The engine ended its answer before it was whole.")
        await responder.finish()

    def _note_progress(
        self, lease: Lease, tokens: int, meter: Meter | None = None
    ) -> None:
        first_s = meter.first_s if meter is not None else None
        gap_s = meter.gap_s if meter is not None else None
        self._coordinator.send_command(
            NoteProgress(lease.lease_id, float(tokens), first_s, gap_s)
        )

    async def _pass_on(
        self,
        event: StreamEvent,
        response: BackendResponse,
        responder: Responder,
        progress: _Progress,
        meter: Meter,
    ) -> None:
        if not responder.begun:
            await responder.begin(response.status, response_headers(response.headers))
        usage = parse_usage(event.data)
        if usage is not None:
            meter.record_usage(usage)
        meter.record_chunk(event.tokens)
        progress.tokens += event.tokens
        await responder.send(event.raw)

    async def _copy(
        self,
        call: Call,
        lease: Lease,
        response: BackendResponse,
        responder: Responder,
        meter: Meter,
    ) -> None:
        """Copy a body; its head waits for the first part, so a try may still fail."""
        kept = bytearray()
        meter.non_streaming = bool(call.chat.model)
        headers = response_headers(response.headers)
        async for chunk in response.chunks():
            if not responder.begun:
                await responder.begin(response.status, headers)
            meter.record_chunk(0)
            if len(kept) < MAX_USAGE_BYTES:
                kept += chunk
            await responder.send(chunk)
        if not responder.begun:
            await responder.begin(response.status, headers)
        usage = parse_usage(bytes(kept)) if call.chat.model else None
        if usage is not None:
            meter.record_usage(usage)
        await responder.finish()

    def _retry_unsent(
        self, call: Call, lease: Lease, progress: _Progress, error: FailedBeforeSend
    ) -> None:
        """Let the call try elsewhere, or refuse it truthfully as not run."""
        call.sent = progress.sent
        progress.failed = (*progress.failed, lease.server.name)
        if progress.tokens and progress.tries < MAX_TRIES:
            return
        if progress.tries < MAX_TRIES and self._admission_controller.take_retry(
            call.pool.name
        ):
            self._note_retry(call, lease, error)
            return
        refused = Refused(RefusalReason.RETRY_BUDGET, 1.0)
        raise self._refusal(refused, progress) from error

    def _retry_sent(
        self,
        call: Call,
        lease: Lease,
        responder: Responder,
        progress: _Progress,
        error: Exception,
    ) -> None:
        """Let the call be resumed or repeated where that is allowed."""
        progress.failed = (*progress.failed, lease.server.name)
        progress.sent = True
        late = self._clock() >= call.deadline
        spent = late or progress.tries >= MAX_TRIES
        if responder.begun:
            if spent or not (call.pool.can_resume and call.chat.stream):
                raise AnswerBroken(
                    "The backend server broke its answer off."
                ) from error
            emit(
                logger,
                Event.STREAM_RESUMED,
                request_id=call.request_id,
                server=lease.server.name,
                tokens=progress.tokens,
            )
            return
        if (
            call.route.repeatable
            and not spent
            and self._admission_controller.take_retry(call.pool.name)
        ):
            self._note_retry(call, lease, error)
            return
        if late:
            raise TimedOut("The call did not end in time; it may have run.") from error
        raise OutcomeUnknown(
            "The backend server failed after the call was sent; it may have run."
        ) from error

    def _note_retry(self, call: Call, lease: Lease, error: Exception) -> None:
        emit(
            logger,
            Event.REQUEST_RETRIED,
            request_id=call.request_id,
            server=lease.server.name,
            cause=str(error),
        )

    def _report(self, call: Call, lease: Lease, meter: Meter, outcome: Outcome) -> None:
        report = Finished(
            lease.shard,
            lease.lease_id,
            outcome,
            self._service(call, meter, outcome),
            meter.first_s,
            meter.gap_s,
            self._clock() - meter.sent,
            cached_blocks(meter.cached_tokens),
        )
        self._coordinator.send_command(NoteFinished(report))

    def _service(self, call: Call, meter: Meter, outcome: Outcome) -> float:
        """Return what the try cost, in the pool's unit."""
        if outcome is Outcome.UNREACHABLE:
            return 0.0
        if call.pool.cost is CostUnit.CALLS:
            return 1.0
        if call.pool.cost is CostUnit.SECONDS:
            return self._clock() - meter.sent
        return meter.prompt_tokens * call.pool.prompt_cost + meter.tokens


def _outcome_of(pool: Pool, status: int) -> Outcome:
    """Return what an answer says of its server.

    An engine that fails answers at once, and would pass for the fastest of all. A
    plain service may fail for one caller's data, which says nothing of the others.
    """
    failed = status in REFUSED_STATUS or status in FAILED_STATUS - {500}
    if failed or (pool.kind is PoolKind.MODEL and status in FAILED_STATUS):
        return Outcome.FAILED
    return Outcome.COMPLETED


def _is_events(response: BackendResponse) -> bool:
    kind = response.header(b"content-type")
    return response.status == 200 and kind.startswith(b"text/event-stream")

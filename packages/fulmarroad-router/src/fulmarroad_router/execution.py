"""Run one call: wait for a lease, send the call, stream the answer, report the cost.

This module decides whether a failed try is followed by another one. A call of which no
byte was sent may always be retried on another server. A call that was sent may be
retried only if its route is marked as repeatable. An answer that has begun can only be
resumed, in pools whose engines support it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

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
from fulmarroad.tables import CostUnit
from fulmarroad.types import Outcome, RefusalReason
from fulmarroad_router.admitting import AdmissionController
from fulmarroad_router.answer_statuses import (
    FAILED_STATUSES,
    REFUSED_STATUSES,
    outcome_of,
)
from fulmarroad_router.backend import (
    BackendClient,
    BackendResponse,
    FailedAfterSend,
    FailedBeforeSend,
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
from fulmarroad_router.responder import Responder
from fulmarroad_router.sse import EventSplitter, EventTooLarge, StreamEvent, parse_usage

logger = logging.getLogger("fulmarroad.router")

PROGRESS_S = 0.1
"""Interval of progress reports to the coordinator, instead of one for each token."""

EARLY_PROGRESS_CHUNKS = 16
"""Chunks after which the latency of a running answer is reported: enough for a mean
gap, and about one second into an answer that takes ten seconds."""

MAX_TRIES = 4
"""Maximum tries of one call, so that one request can't reach every server."""

MAX_USAGE_BYTES = 256 * 1024


@define
class _Progress:
    """Hold the state of a call over all its tries.

    `tokens` counts those already sent to the caller. `sent` is set once a try failed
    after the call was sent. `failed` names the servers of failed tries.
    """

    tokens: int = 0
    done: bool = False
    sent: bool = False
    failed: tuple[str, ...] = ()
    tries: int = 0


class Execution:
    """Run calls under leases that the coordinator grants."""

    def __init__(
        self,
        coordinator: Coordinator,
        backends: BackendClient,
        admission_controller: AdmissionController,
        clock: Callable[[], float],
        name: str,
    ) -> None:
        """Create an execution; `name` identifies this run of this router process."""
        self._coordinator = coordinator
        self._backends = backends
        self._admission_controller = admission_controller
        self._clock = clock
        self._sequence = 0
        self._demand_prefix = short_name(name)

    async def run(self, call: Call, responder: Responder) -> None:
        """Run one call to its end; raise `CallError` if the answer is not complete."""
        progress = _Progress()
        while not progress.done:
            lease = await self._acquire_lease(call, progress)
            progress.tries += 1
            self._admission_controller.begin(call)
            try:
                with anyio.CancelScope(shield=call.continues_after_disconnect):
                    await self._try(call, lease, responder, progress)
            finally:
                self._admission_controller.end(call)

    async def _acquire_lease(self, call: Call, progress: _Progress) -> Lease:
        ask = self._build_ask(call, progress)
        try:
            self._admission_controller.admit(
                call, ask.demand_id, first=not progress.tries
            )
            answer = await self._coordinator.request(ask)
        except Refused as refused:
            raise self._refusal_error(refused, progress) from refused
        finally:
            self._admission_controller.leave(ask.demand_id)
        if isinstance(answer, Granted):
            return answer.lease
        raise self._refusal_error(
            Refused(answer.reason, answer.retry_after_s), progress
        )

    def _build_ask(self, call: Call, progress: _Progress) -> Ask:
        self._sequence += 1
        return Ask(
            demand_id=f"{self._demand_prefix}{self._sequence:x}",
            pool=call.pool.name,
            workspace=call.workspace.name,
            weight=call.workspace.weight,
            cost_hint=call.cost_hint,
            arrived=call.arrived,
            deadline=call.deadline,
            prefix=prefix_hashes(call.chat.prompt),
            repeatable=call.route.repeatable,
            avoid=self._servers_to_avoid(call, progress),
        )

    def _refusal_error(self, refused: Refused, progress: _Progress) -> CallError:
        """Return the error for a refused call.

        It says "not run" only if no try of the call was sent.
        """
        if progress.tokens:
            return AnswerBroken("The answer broke off and could not be resumed.")
        if progress.sent:
            return OutcomeUnknown(
                "The call was sent and broke off, and no backend server was free to "
                "repeat it; it may have run."
            )
        return refused

    def _servers_to_avoid(self, call: Call, progress: _Progress) -> tuple[str, ...]:
        """Return the servers that failed this call, or none if the whole pool did."""
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
            outcome = outcome_of(call.pool, status)
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
            self._report_finished(call, lease, meter, outcome)

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
                "The permission to send the call with this key has expired."
            )
        self._coordinator.send_command(NoteStarted(lease.lease_id))
        repeatable = call.route.repeatable
        backend = self._backends.call(
            call.pool, lease.server, request, repeatable=repeatable
        )
        call.sent = True  # reset by _retry_unsent if no byte was sent
        async with backend as response:
            self._check_response(call, response, progress)
            if _is_event_stream(response):
                await self._forward_stream(
                    call, lease, response, responder, progress, meter
                )
            else:
                await self._forward_body(call, lease, response, responder, meter)
        progress.done = True
        return response.status

    def _check_response(
        self, call: Call, response: BackendResponse, progress: _Progress
    ) -> None:
        """Raise `FailedAfterSend` for an answer that must not reach the caller.

        These are answers to another request, failures that may be retried, and answers
        that do not resume the stream as requested.
        """
        echoed = response.header(b"x-request-id").decode("latin-1")
        if echoed and echoed != call.request_id:
            raise FailedAfterSend("The backend server answered another request.")
        failed = response.status in REFUSED_STATUSES | FAILED_STATUSES
        if failed and call.route.repeatable and progress.tries < MAX_TRIES:
            raise FailedAfterSend(
                f"The backend server answered with status {response.status}."
            )
        if progress.tokens and not _is_event_stream(response):
            raise FailedAfterSend("The engine did not resume the answer.")

    async def _forward_stream(
        self,
        call: Call,
        lease: Lease,
        response: BackendResponse,
        responder: Responder,
        progress: _Progress,
        meter: Meter,
    ) -> None:
        """Forward events one by one; the answer is complete only after `[DONE]`."""
        splitter = EventSplitter()
        reported_at = meter.sent
        unreported = 0
        done = early_reported = False
        async for chunk in response.chunks():
            for event in splitter.feed(chunk):
                unreported += event.tokens
                await self._forward_event(event, response, responder, progress, meter)
                done = done or event.done
            now = self._clock()
            if not early_reported and meter.chunks >= EARLY_PROGRESS_CHUNKS:
                early_reported = True
                self._report_progress(lease, unreported, meter)
                reported_at, unreported = now, 0
            elif unreported and now - reported_at >= PROGRESS_S:
                self._report_progress(lease, unreported)
                reported_at, unreported = now, 0
        if not done:
            raise FailedAfterSend("The engine ended its answer without `[DONE]`.")
        await responder.finish()

    def _report_progress(
        self, lease: Lease, tokens: int, meter: Meter | None = None
    ) -> None:
        first_s = meter.first_s if meter is not None else None
        gap_s = meter.gap_s if meter is not None else None
        self._coordinator.send_command(
            NoteProgress(lease.lease_id, float(tokens), first_s, gap_s)
        )

    async def _forward_event(
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

    async def _forward_body(
        self,
        call: Call,
        lease: Lease,
        response: BackendResponse,
        responder: Responder,
        meter: Meter,
    ) -> None:
        """Forward a body that is not an event stream.

        Headers are sent with the first chunk, so that a failure before it can still be
        retried.
        """
        body = bytearray()
        meter.non_streaming = bool(call.chat.model)
        headers = response_headers(response.headers)
        async for chunk in response.chunks():
            if not responder.begun:
                await responder.begin(response.status, headers)
            meter.record_chunk(0)
            if len(body) < MAX_USAGE_BYTES:
                body += chunk
            await responder.send(chunk)
        if not responder.begun:
            await responder.begin(response.status, headers)
        usage = parse_usage(bytes(body)) if call.chat.model else None
        if usage is not None:
            meter.record_usage(usage)
        await responder.finish()

    def _retry_unsent(
        self, call: Call, lease: Lease, progress: _Progress, error: FailedBeforeSend
    ) -> None:
        """Allow another try after a failure before sending, or raise an error."""
        call.sent = progress.sent
        progress.failed = (*progress.failed, lease.server.name)
        if progress.tokens and progress.tries < MAX_TRIES:
            return
        if progress.tries < MAX_TRIES and self._admission_controller.take_retry(
            call.pool.name
        ):
            self._log_retry(call, lease, error)
            return
        refused = Refused(RefusalReason.RETRY_BUDGET, 1.0)
        raise self._refusal_error(refused, progress) from error

    def _retry_sent(
        self,
        call: Call,
        lease: Lease,
        responder: Responder,
        progress: _Progress,
        error: Exception,
    ) -> None:
        """Allow a resumption or another try after sending, or raise the final error."""
        progress.failed = (*progress.failed, lease.server.name)
        progress.sent = True
        late = self._clock() >= call.deadline
        exhausted = late or progress.tries >= MAX_TRIES
        if responder.begun:
            if exhausted or not (call.pool.can_resume and call.chat.stream):
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
            and not exhausted
            and self._admission_controller.take_retry(call.pool.name)
        ):
            self._log_retry(call, lease, error)
            return
        if late:
            raise TimedOut("The call did not end in time; it may have run.") from error
        raise OutcomeUnknown(
            "The backend server failed after the call was sent; it may have run."
        ) from error

    def _log_retry(self, call: Call, lease: Lease, error: Exception) -> None:
        emit(
            logger,
            Event.REQUEST_RETRIED,
            request_id=call.request_id,
            server=lease.server.name,
            cause=str(error),
        )

    def _report_finished(
        self, call: Call, lease: Lease, meter: Meter, outcome: Outcome
    ) -> None:
        report = Finished(
            lease.shard,
            lease.lease_id,
            outcome,
            self._cost(call, meter, outcome),
            meter.first_s,
            meter.gap_s,
            self._clock() - meter.sent,
            cached_blocks(meter.cached_tokens),
        )
        self._coordinator.send_command(NoteFinished(report))

    def _cost(self, call: Call, meter: Meter, outcome: Outcome) -> float:
        """Return the cost of the try in the pool's service unit."""
        if outcome is Outcome.UNREACHABLE:
            return 0.0
        if call.pool.cost is CostUnit.CALLS:
            return 1.0
        if call.pool.cost is CostUnit.SECONDS:
            return self._clock() - meter.sent
        return meter.prompt_tokens * call.pool.prompt_cost + meter.tokens


def _is_event_stream(response: BackendResponse) -> bool:
    kind = response.header(b"content-type")
    return response.status == 200 and kind.startswith(b"text/event-stream")

"""Forward a call to backend servers: place it, send it, retry or resume it.

The dispatcher and the call's progress record decide what may be done. This module
carries out their decisions and reports the results back to them.
"""

from __future__ import annotations

from collections.abc import Callable

from fulmarroad.types import Ran, RefusalReason, ServerName
from fulmarroad_router.exceptions import (
    AnswerBroken,
    OutcomeUnknown,
    Refused,
    RequestBarred,
    TimedOut,
)
from fulmarroad_serving._attempts import CallProgress, SendOutcome
from fulmarroad_serving._catalog import Catalog, Service, ServiceName
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._crash_detector import CrashDetector
from fulmarroad_serving._demands import Placement, Refusal, Ticket
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._exchange import Exchanger, StreamBegun
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._placing import CallPlacer
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._send_failures import SendFailures
from fulmarroad_serving._served_call import (
    ActiveCall,
    CallSummary,
    PreparedAttempt,
    Responder,
    ServedCall,
    demand_of,
    suspects_of,
)
from fulmarroad_serving._suspect_records import TRIAL_TIMEOUT_S, crash_id
from fulmarroad_serving._suspects import SuspectState
from fulmarroad_serving.contracts import CallCodec
from fulmarroad_serving.exceptions import (
    BarredError,
    ConnectionLimitError,
    NotSentError,
    SendError,
    SilentServerError,
    WithdrawnServerError,
    WithheldError,
)

ALL_REFUSED_RETRY_S = 0.5
"""Retry delay after every server that was tried refused a call. Server queues advance
within this time."""


NO_RETRY_LEFT = "no_retry_left"
"""Why a call did not go on elsewhere: the retry budget was used up."""


class Forwarder:
    """Forward calls to backend servers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        codec: CallCodec,
        catalog: Callable[[], Catalog],
        clock: Callable[[], float],
        owner_client: OwnerClient | None = None,
        on_stream_begun: StreamBegun = lambda call, version, now: None,
    ) -> None:
        self.placer = CallPlacer(dispatcher, clock, owner_client)
        """Finds places for calls, here or at owners of servers."""
        self._dispatcher = dispatcher
        self._pool = pool
        self._catalog = catalog
        self._clock = clock
        pool.on_lost_idle = self._note_lost_idle
        pool.activity_of = dispatcher.activity
        if owner_client is not None:
            owner_client.is_full = self._is_full
        self._crash_detector = CrashDetector(pool, dispatcher.registry, clock)
        self._failures = SendFailures(dispatcher, self._crash_detector, clock)
        self._exchanger = Exchanger(
            dispatcher,
            codec,
            clock,
            on_stream_begun,
            self._crash_detector.has_crashed,
            self._refuses,
            self._reserve_next,
        )

    def admit(self, call: ServedCall, summary: CallSummary) -> None:
        """Count an incoming call; raise `Refused` if it must not be attempted."""
        now, demand = self._clock(), demand_of(call)
        self._dispatcher.note_asked(demand, now)
        refusal = self._dispatcher.reject_early(demand, now)
        if refusal is None and not call.takes_up_stream:
            left_s = call.deadline - now
            refusal = self._dispatcher.reject_unfinishable(demand, left_s, now)
        if refusal is not None:
            summary.use = refusal.use
            raise Refused(refusal.reason, refusal.retry_after_s)

    def refuse_stream(self, reason: RefusalReason) -> Refusal:
        """Return when a caller may come back whose stream can't go on now."""
        return self._dispatcher.refuse_stream(reason)

    def used_share(self, call: ServedCall) -> float:
        """Return the fraction of its share that a call's workspace uses with it.

        It is 0 for a call that takes up a stream, of which a part was delivered.
        """
        if call.version:
            return 0.0
        use = self._dispatcher.use_of(demand_of(call), self._clock())
        return use.used_fraction

    async def run(
        self, call: ServedCall, responder: Responder, summary: CallSummary
    ) -> None:
        """Answer an admitted call, or raise `CallError`."""
        now = self._clock()
        run = ActiveCall(
            call,
            responder,
            demand_of(call),
            CallProgress(call.route.repeatable, call.route.max_attempts),
            suspects_of(call, self._dispatcher.suspects),
            summary,
            now,
        )
        try:
            await self._run(run)
        finally:
            self._give_back(run.take_next_attempt())

    async def _run(self, run: ActiveCall) -> None:
        error: SendError | None = self._withheld_error(run)
        while True:
            attempt: PreparedAttempt | SendError | None = run.take_next_attempt()
            if attempt is None:
                if error is not None and not self._may_retry(run, error):
                    await self._give_up(run, error)
                    return
                placement = await self.placer.find(run, may_wait=error is None)
                if isinstance(placement, Refusal):
                    if error is not None:
                        run.summary.next_place = placement.reason.value
                    await self._refuse(run, placement, error)
                    return
                run.summary.note_place(placement)
                attempt = await self._prepare(run, placement)
            if isinstance(attempt, SendError):
                error = attempt
            else:
                error = await self._attempt(run, attempt)
            if error is None:
                return

    def _may_retry(self, run: ActiveCall, error: SendError) -> bool:
        if isinstance(error, WithheldError):
            run.summary.next_place = "withheld"
            return False
        self._limit_repeats(run)
        if not run.progress.may_send or run.remaining_s(self._clock()) <= 0:
            run.summary.next_place = "may_not_send"
            return False
        if not run.progress.is_repeat:
            return True
        has_retry = self._dispatcher.take_retry(run.demand.service, self._clock())
        run.summary.next_place = "" if has_retry else NO_RETRY_LEFT
        return has_retry

    def _withheld_error(self, run: ActiveCall) -> WithheldError | None:
        """Return an error if the call is a suspect that may not be sent now."""
        now = self._clock()
        suspicion = run.suspects.suspicion(now)
        if suspicion.state is SuspectState.CLEAR:
            return None
        run.summary.fingerprint = suspicion.fingerprint
        run.summary.suspect_part = run.suspects.part_name(suspicion.fingerprint)
        return run.suspects.withheld_error(suspicion, now)

    def _limit_repeats(self, run: ActiveCall) -> None:
        """Forbid retries of a call under whose suspect two servers crashed.

        The caller may still retry it.
        """
        if run.suspects.suspicion(self._clock()).state >= SuspectState.ISOLATED:
            run.progress.forbid_repeats()

    async def _reserve_next(
        self, run: ActiveCall, ticket: Ticket, connection: BackendConnection
    ) -> bool:
        """Get a place, a connection and a retry for a call whose server is silent.

        Return False and give all back if one of them is missing, or if the server has
        sent something meanwhile.
        """
        self._limit_repeats(run)
        if not run.progress.may_move:
            return False
        service = run.demand.service
        if not self._dispatcher.may_retry(service, self._clock()):
            run.summary.next_place = NO_RETRY_LEFT
            return False
        attempt = await self._prepare_elsewhere(run, ticket.charge.server)
        if attempt is None:
            return False
        is_silent = not connection.has_unread_part
        if not is_silent or not self._dispatcher.take_retry(service, self._clock()):
            self._give_back(attempt)
            return False
        run.next_attempt = attempt
        run.summary.next_place = ""
        return True

    async def _prepare_elsewhere(
        self, run: ActiveCall, server: ServerName
    ) -> PreparedAttempt | None:
        """Get a place and a connection at another server that isn't silent."""
        # A search that fails leaves the call as it was, for the next one.
        avoid, unsent = set(run.avoid), run.progress.unsent
        summary = run.summary
        held_s, wait_s, use = summary.held_s, summary.wait_s, summary.use
        run.moving = True
        run.avoid.add(server)
        try:
            placement = await self.placer.find(run, may_wait=False)
            if isinstance(placement, Refusal):
                run.summary.next_place = placement.reason.value
                return None
            attempt = await self._prepare(run, placement)
        finally:
            run.moving = False
            run.avoid, run.progress.unsent = avoid, unsent
            summary.held_s, summary.wait_s, summary.use = held_s, wait_s, use
        return attempt if isinstance(attempt, PreparedAttempt) else None

    def _give_back(self, attempt: PreparedAttempt | None) -> None:
        """Return the place and the connection of an attempt that is not made."""
        if attempt is not None:
            self._pool.release(attempt.instance.id, attempt.connection)
            self.placer.return_unused(attempt.placement)

    async def _prepare(
        self, run: ActiveCall, placement: Placement
    ) -> PreparedAttempt | SendError:
        """Get a connection for a place; return the error if the call can't be sent."""
        try:
            attempt = await self._connect(run, placement)
        except BaseException:
            self.placer.return_unused(placement)
            raise
        if isinstance(attempt, SendError):
            self.placer.return_unused(placement)
        return attempt

    async def _connect(
        self, run: ActiveCall, placement: Placement
    ) -> PreparedAttempt | SendError:
        instance = placement.registered.instance
        try:
            connection = await self._acquire(run, placement)
        except ConnectionLimitError as error:
            self.placer.return_unused(placement, obstacle=Obstacle.CONNECTIONS)
            self._failures.note(run, instance.id, error)
            return error
        except NotSentError as error:
            self._failures.note_unreachable(instance, error)
            self.placer.return_unused(placement, error.outcome, Obstacle.BACKOFF)
            self._failures.note(run, instance.id, error)
            return error
        if run.remaining_s(self._clock()) <= 0:
            # The process or its VM was paused, and the caller has given up. Sending the
            # call now would waste work, or make a booking that its caller believes was
            # never made.
            self._pool.release(instance.id, connection)
            late = NotSentError("The call's time ran out before it could be sent.")
            self._failures.note(run, instance.id, late)
            return late
        if not self._dispatcher.may_send(run.demand, placement, self._clock()):
            # It announced its shutdown, left, asked for rest or restarted meanwhile, or
            # is cold and got as many calls as it may.
            self._pool.release(instance.id, connection)
            self.placer.return_unused(placement, obstacle=Obstacle.GONE)
            withdrawn = WithdrawnServerError("The server takes no more calls.")
            self._failures.note(run, instance.id, withdrawn)
            return withdrawn
        withheld = self._withheld_error(run)
        if withheld is not None:
            self._pool.release(instance.id, connection)
            return withheld
        return PreparedAttempt(placement, connection)

    async def _attempt(
        self, run: ActiveCall, attempt: PreparedAttempt
    ) -> SendError | None:
        """Send a call once; return the error if it brought no complete answer."""
        placement, connection = attempt.placement, attempt.connection
        instance = attempt.instance
        run.summary.note_place(placement)
        self._limit_repeats(run)
        run.suspects.begin(crash_id(instance.id, instance.started_ms), self._clock())
        ticket = self._dispatcher.send(run.demand, placement, self._clock())
        run.progress.note_send(instance.id)
        run.summary.sends = run.progress.sends
        outcome: SendOutcome | None = None
        activity = self._dispatcher.activity(instance.id)
        due_at = ticket.charge.sent_at + ticket.charge.expected_s
        activity.expect(id(ticket), due_at, run.call.route.pause_objective_s)
        try:
            await self._exchange(run, connection, instance, ticket)
            if ticket.begun_at is not None:
                run.suspects.note_good_run(ticket.begun_at, self._clock())
        except SendError as error:
            outcome = error.outcome
            await self._failures.record(
                run, ticket, instance, connection.contact, error
            )
            return error
        finally:
            # Closes the connection if its answer was not read completely, which also
            # cancels the work at the server when the caller has disconnected.
            self._pool.release(instance.id, connection)
            self._dispatcher.end(ticket, outcome, self._clock())
            activity.settle(id(ticket))
            run.suspects.end()
        return None

    async def _exchange(
        self,
        run: ActiveCall,
        connection: BackendConnection,
        instance: Instance,
        ticket: Ticket,
    ) -> None:
        try:
            await self._exchanger.exchange(run, connection, instance, ticket)
        finally:
            run.summary.last_request = connection.request_state()

    async def _acquire(
        self, run: ActiveCall, placement: Placement
    ) -> BackendConnection:
        return await self._pool.acquire(
            placement.registered.instance,
            self._service(run).max_connections,
            len(self._dispatcher.routers),
            beyond_share=placement.may_open,
        )

    def _is_full(self, service: ServiceName, server: ServerName) -> bool:
        found = self._catalog().services.get(service) or Service(service)
        routers = len(self._dispatcher.routers)
        return self._pool.is_full(server, found.max_connections, routers)

    async def _refuses(self, instance: Instance, since: float) -> bool:
        """Return whether a silent server refuses connections, as far as it is known.

        No connection is opened for it beyond this router's share.
        """
        if self._is_full(instance.service, instance.id):
            return False
        return await self._crash_detector.has_crashed(instance, since)

    def _note_lost_idle(self, instance: Instance, contact: Contact) -> None:
        registry, now = self._dispatcher.registry, self._clock()
        registry.suspect(instance.id, contact, now)
        registry.note_ended(instance, now)

    # final outcomes

    async def _give_up(self, run: ActiveCall, error: SendError) -> None:
        """Answer a call without a complete answer, saying whether it may have run."""
        if run.responder.begun:
            raise AnswerBroken("The answer broke off and could not be resumed.")
        if run.failed_answer is not None:
            head, body = run.failed_answer
            await self._exchanger.answer(run, head, body)
            return
        if isinstance(error, BarredError):
            raise RequestBarred(error.message)
        if run.progress.ran is Ran.NOT_RUN:
            if isinstance(error, WithheldError):
                raise Refused(RefusalReason.REQUEST_SUSPECTED, TRIAL_TIMEOUT_S)
            raise Refused(RefusalReason.WAIT_TOO_LONG, ALL_REFUSED_RETRY_S)
        if run.remaining_s(self._clock()) <= 0 or isinstance(error, SilentServerError):
            raise TimedOut("The call was sent and brought no answer in time.")
        raise OutcomeUnknown("The call was sent and its answer was lost.")

    async def _refuse(
        self, run: ActiveCall, refusal: Refusal, error: SendError | None
    ) -> None:
        if error is not None and run.progress.ran is not Ran.NOT_RUN:
            await self._give_up(run, error)
            return
        raise Refused(refusal.reason, refusal.retry_after_s)

    def _service(self, run: ActiveCall) -> Service:
        services = self._catalog().services
        return services.get(run.demand.service) or Service(run.demand.service)

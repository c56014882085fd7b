"""Forward a call to backend servers: place it, send it, retry or resume it.

The dispatcher and the call's progress record decide what may be done. This module
carries out their decisions and reports the results back to them.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import evolve

from fulmarroad.delivery import RequestState
from fulmarroad.events import Event, emit
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
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._served_call import (
    ActiveCall,
    CallSummary,
    Responder,
    ServedCall,
    demand_of,
    request_fields,
    suspects_of,
)
from fulmarroad_serving._spilling import Spiller
from fulmarroad_serving._suspect_records import TRIAL_TIMEOUT_S, crash_id
from fulmarroad_serving._suspects import SuspectState
from fulmarroad_serving.contracts import CallCodec
from fulmarroad_serving.exceptions import (
    BarredError,
    ConnectionBrokenError,
    ConnectionLimitError,
    NotSentError,
    OtherInstanceError,
    SendError,
    SilentServerError,
    WithdrawnServerError,
    WithheldError,
)

logger = logging.getLogger("fulmarroad.serving")

ALL_REFUSED_RETRY_S = 0.5
"""Retry delay after every server that was tried refused a call. Server queues advance
within this time."""

MAX_LOGGED_PARTS = 10
"""Maximum number of a prompt's parts in a log line."""


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
        self._owner_client = owner_client
        self._spiller = (
            Spiller(owner_client, dispatcher, clock)
            if owner_client is not None
            else None
        )
        self._dispatcher = dispatcher
        self._pool = pool
        self._catalog = catalog
        self._clock = clock
        self._held = HeldCalls()
        pool.on_lost_idle = self._note_lost_idle
        if owner_client is not None:
            owner_client.is_full = self._is_full
        self._crash_detector = CrashDetector(pool, dispatcher.registry, clock)
        self._exchanger = Exchanger(
            dispatcher,
            codec,
            clock,
            on_stream_begun,
            self._crash_detector.has_crashed,
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
        error: SendError | None = self._withheld_error(run)
        while True:
            if error is not None and not self._may_retry(run, error):
                await self._give_up(run, error)
                return
            placement = await self._find_or_spill(run, may_wait=error is None)
            if isinstance(placement, Refusal):
                await self._refuse(run, placement, error)
                return
            try:
                error = await self._attempt(run, placement)
            finally:
                self._return_unused(placement)
            if error is None:
                return

    def _may_retry(self, run: ActiveCall, error: SendError) -> bool:
        if isinstance(error, WithheldError):
            return False
        self._limit_repeats(run)
        if not run.progress.may_send or run.remaining_s(self._clock()) <= 0:
            return False
        if not run.progress.is_repeat:
            return True
        return self._dispatcher.take_retry(run.demand.service, self._clock())

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

    async def _find_or_spill(
        self, run: ActiveCall, *, may_wait: bool
    ) -> Placement | Refusal:
        """Find a place for a call, at a second owner if the first one refuses it."""
        placement = await self._find_place(run, may_wait=may_wait)
        if self._spiller is None or not isinstance(placement, Refusal):
            return placement
        placed = await self._spiller.spill(run, placement, self._avoided(run))
        if placed is None:
            return placement
        run.summary.held_s = self._clock() - run.begun_at
        self._summarize(run, placed)
        return placed

    async def _find_place(
        self, run: ActiveCall, *, may_wait: bool
    ) -> Placement | Refusal:
        """Ask the owner of the servers that suit a call, or decide here."""
        client = self._owner_client
        owner = client.owner_for(run.demand) if client is not None else None
        if client is None or owner is None:
            return await self._place_here(run, None, may_wait=may_wait)
        if owner == client.me and not self._queues_own(run.demand.service):
            owned = client.own_servers(run.demand)
            placed = await self._place_here(run, owned, may_wait=may_wait)
            if not _lacks_servers(placed):
                return placed
            # Other routers own servers that this call may use.
            return await self._place_here(run, None, may_wait=may_wait)
        asked_at = self._clock()
        placement = await client.request(
            owner,
            run.demand,
            self._avoided(run),
            may_wait=may_wait,
            remaining_s=run.remaining_s(asked_at),
        )
        if placement is None:
            return await self._place_here(run, None, may_wait=may_wait)
        run.summary.held_s = self._clock() - asked_at
        self._summarize(run, placement)
        return placement

    def _queues_own(self, service: ServiceName) -> bool:
        """Return whether this router asks itself as the owner, as it asks others."""
        client = self._owner_client
        has_queue = self._dispatcher.queues_calls(service)
        return has_queue and client is not None and client.local is not None

    async def _place_here(
        self,
        run: ActiveCall,
        owned: OwnedServers | None,
        *,
        may_wait: bool,
    ) -> Placement | Refusal:
        """Choose a server; retry while the call can still begin on time."""
        placement = await self._place_or_hold(run, owned, may_wait=may_wait)
        self._dispatcher.placements.note_decision(
            run.demand.workspace,
            run.demand.units,
            placed=isinstance(placement, Placement),
        )
        return placement

    async def _place_or_hold(
        self,
        run: ActiveCall,
        owned: OwnedServers | None,
        *,
        may_wait: bool,
    ) -> Placement | Refusal:
        placement = self._place(run, owned)
        if not may_wait:
            return placement
        objective_s = run.demand.objective_s
        self._held.count += 1
        try:
            while isinstance(placement, Refusal):
                now = self._clock()
                held_s = now - run.begun_at
                pause_s = self._held.next_poll_s(placement, objective_s, held_s)
                if pause_s is None or pause_s >= run.remaining_s(now):
                    break
                spiller = self._spiller
                if spiller and spiller.leaves_early(run, placement, owned, held_s):
                    break
                await anyio.sleep(pause_s)
                run.summary.held_s = self._clock() - run.begun_at
                placement = self._place(run, owned)
        finally:
            self._held.count -= 1
        return placement

    def _place(
        self, run: ActiveCall, owned: OwnedServers | None
    ) -> Placement | Refusal:
        demand = run.demand
        if run.summary.held_s:
            left_s = max(0.0, demand.objective_s - run.summary.held_s)
            demand = evolve(demand, objective_s=left_s)
        placement = self._dispatcher.place(
            demand, self._clock(), avoid=self._avoided(run), owned=owned
        )
        self._summarize(run, placement)
        return placement

    def _summarize(self, run: ActiveCall, placement: Placement | Refusal) -> None:
        run.summary.wait_s, run.summary.use = placement.wait_s, placement.use
        if isinstance(placement, Refusal):
            return
        choice = placement.choice
        run.summary.server, run.summary.cached = choice.server, choice.cached
        run.summary.server_version = placement.registered.instance.version
        run.summary.read_tokens = choice.tokens
        run.summary.copies = choice.copies
        run.summary.expected_s = choice.wait_s + choice.read_s

    def _return_unused(
        self,
        placement: Placement,
        outcome: SendOutcome | None = None,
        obstacle: Obstacle | None = None,
    ) -> None:
        if placement.grant is not None and self._owner_client is not None:
            self._owner_client.abandon(placement.grant, outcome, obstacle)

    def _avoided(self, run: ActiveCall) -> set[ServerName]:
        rows = (row.instance for row in self._dispatcher.registry.rows())
        return run.avoid | run.suspects.trial_servers(rows, self._clock())

    async def _attempt(self, run: ActiveCall, placement: Placement) -> SendError | None:
        """Send a call once; return the error if it brought no complete answer."""
        instance = placement.registered.instance
        try:
            connection = await self._acquire(run, placement)
        except ConnectionLimitError as error:
            self._return_unused(placement, obstacle=Obstacle.CONNECTIONS)
            self._note_failure(run, instance.id, error)
            return error
        except NotSentError as error:
            self._note_unreachable(instance, error)
            self._return_unused(placement, error.outcome, Obstacle.BACKOFF)
            self._note_failure(run, instance.id, error)
            return error
        if run.remaining_s(self._clock()) <= 0:
            # The process or its VM was paused, and the caller has given up. Sending the
            # call now would waste work, or make a booking that its caller believes was
            # never made.
            self._pool.release(instance.id, connection)
            late = NotSentError("The call's time ran out before it could be sent.")
            self._note_failure(run, instance.id, late)
            return late
        if not self._dispatcher.may_send(run.demand, placement, self._clock()):
            # It announced its shutdown, left, asked for rest or restarted meanwhile, or
            # is cold and got as many calls as it may.
            self._pool.release(instance.id, connection)
            self._return_unused(placement, obstacle=Obstacle.GONE)
            withdrawn = WithdrawnServerError("The server takes no more calls.")
            self._note_failure(run, instance.id, withdrawn)
            return withdrawn
        withheld = self._withheld_error(run)
        if withheld is not None:
            self._pool.release(instance.id, connection)
            return withheld
        self._limit_repeats(run)
        run.suspects.begin(crash_id(instance.id, instance.started_ms), self._clock())
        ticket = self._dispatcher.send(run.demand, placement, self._clock())
        run.progress.note_send(instance.id)
        run.summary.sends = run.progress.sends
        outcome: SendOutcome | None = None
        try:
            await self._exchange(run, connection, instance, ticket)
            if ticket.begun_at is not None:
                run.suspects.note_good_run(ticket.begun_at, self._clock())
        except SendError as error:
            outcome = error.outcome
            await self._on_failure(run, ticket, instance, connection.contact, error)
            return error
        finally:
            # Closes the connection if its answer was not read completely, which also
            # cancels the work at the server when the caller has disconnected.
            self._pool.release(instance.id, connection)
            self._dispatcher.end(ticket, outcome, self._clock())
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

    def _note_unreachable(self, instance: Instance, error: NotSentError) -> None:
        health, now = self._dispatcher.health(instance.id), self._clock()
        if health.unreachable(now):
            emit(
                logger,
                Event.SERVER_UNREACHABLE,
                server=instance.id,
                seconds=round(health.backoff_until - now, 2),
                cause=error.message,
            )

    def _is_full(self, service: ServiceName, server: ServerName) -> bool:
        found = self._catalog().services.get(service) or Service(service)
        routers = len(self._dispatcher.routers)
        return self._pool.is_full(server, found.max_connections, routers)

    def _note_lost_idle(self, instance: Instance, contact: Contact) -> None:
        self._dispatcher.registry.suspect(instance.id, contact, self._clock())

    async def _on_failure(
        self,
        run: ActiveCall,
        ticket: Ticket,
        instance: Instance,
        contact: Contact,
        error: SendError,
    ) -> None:
        now = self._clock()
        broken = isinstance(error, ConnectionBrokenError)
        crashed = broken and await self._crash_detector.has_crashed(instance, now)
        if crashed:
            self._note_crash(run, instance, ticket.answered_s(now))
        if isinstance(error, OtherInstanceError):
            # Another server has this address now, so the instance no longer exists.
            self._dispatcher.registry.remove(instance.id, now)
        elif broken:
            # An answer that is wrong in another way comes from a process that runs.
            self._dispatcher.registry.suspect(instance.id, contact, now)
        answered_s = ticket.answered_s(now) if ticket.begun else None
        request = run.summary.last_request
        self._note_failure(
            run, instance.id, error, answered_s, request, crashed=crashed
        )

    def _note_crash(
        self, run: ActiveCall, instance: Instance, answered_s: float
    ) -> None:
        now = self._clock()
        self._dispatcher.health(instance.id).unreachable(now)
        self._dispatcher.registry.note_ended(instance, now)
        end = crash_id(instance.id, instance.started_ms)
        run.suspects.note_crash(end, now, answered_s)

    def _note_failure(
        self,
        run: ActiveCall,
        server: ServerName,
        error: SendError,
        answered_s: float | None = None,
        request: RequestState | None = None,
        *,
        crashed: bool = False,
    ) -> None:
        run.progress.note_outcome(error.outcome, server)
        run.avoid.add(server)
        emit(
            logger,
            Event.SEND_FAILED,
            request_id=run.call.head.request_id,
            server=server,
            server_version=run.summary.server_version,
            outcome=error.outcome.value,
            cause=error.message,
            sends=run.progress.sends,
            event_id=run.progress.last_event_id,
            answered_s=None if answered_s is None else round(answered_s, 3),
            crashed=crashed,
            parts=run.call.head.parts[:MAX_LOGGED_PARTS],
            fingerprint=run.call.fingerprint.hex(),
            ends=run.suspects.ends,
            **request_fields(request),
        )

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


def _lacks_servers(placement: Placement | Refusal) -> bool:
    """Return whether none of the servers that were looked at may take the call."""
    reasons = (RefusalReason.NO_SERVERS, RefusalReason.SERVERS_REST)
    return isinstance(placement, Refusal) and placement.reason in reasons

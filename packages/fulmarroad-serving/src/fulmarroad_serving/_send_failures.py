"""Report a failed send to all that learn from it, and to the log."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import asdict, frozen

from fulmarroad.events import Event, emit
from fulmarroad.types import ServerName
from fulmarroad_serving._crash_detector import CrashDetector
from fulmarroad_serving._demands import Ticket
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._served_call import ActiveCall, request_fields
from fulmarroad_serving._suspect_records import crash_id
from fulmarroad_serving.exceptions import (
    ConnectionBrokenError,
    ConnectionRefusedByHostError,
    NotSentError,
    OtherInstanceError,
    SendError,
    SilentServerError,
)

logger = logging.getLogger("fulmarroad.serving")

MAX_LOGGED_PARTS = 10
"""Maximum number of a prompt's parts in a log line."""


@frozen
class _AnswerState:
    """Hold what is known of an answer that ended before it was complete."""

    answered_s: float | None  # since its first part
    crashed: bool  # its server
    silent_s: float  # since the last byte of this answer, or since the send
    server_silent_s: float  # since any byte of its server, if one is due
    other_calls: int  # of this router that wait for the server


class SendFailures:
    """Record the failed sends of calls."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        crash_detector: CrashDetector,
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._crash_detector = crash_detector
        self._clock = clock

    async def record(
        self,
        run: ActiveCall,
        ticket: Ticket,
        instance: Instance,
        contact: Contact,
        error: SendError,
    ) -> None:
        """Record a send that brought no complete answer."""
        now = self._clock()
        broken = isinstance(error, ConnectionBrokenError)
        if broken:
            # A process that starts again at once accepts the connection of the check.
            self._dispatcher.registry.note_ended(instance, now)
        crashed = broken and await self._crash_detector.has_crashed(instance, now)
        if crashed:
            self._note_crash(run, instance, ticket.answered_s(now))
        if isinstance(error, OtherInstanceError):
            # Another server has this address now, so the instance no longer exists. A
            # later start of its server may have been read of meanwhile.
            if not self._dispatcher.registry.has_ended(instance):
                self._dispatcher.registry.remove(instance.id, now)
        elif broken:
            # An answer that is wrong in another way comes from a process that runs.
            self._dispatcher.registry.suspect(instance.id, contact, now)
        activity = self._dispatcher.activity(instance.id)
        if isinstance(error, SilentServerError):
            activity.note_given_up(now)
        last_byte_at = max(ticket.charge.sent_at, contact.heard_at)
        state = _AnswerState(
            answered_s=round(ticket.answered_s(now), 3) if ticket.begun else None,
            crashed=crashed,
            silent_s=round(now - last_byte_at, 3),
            server_silent_s=round(activity.silent_s(now), 3),
            other_calls=activity.waiting - 1,
        )
        self.note(run, instance.id, error, state)

    def _note_crash(
        self, run: ActiveCall, instance: Instance, answered_s: float
    ) -> None:
        now = self._clock()
        self._dispatcher.health(instance.id).unreachable(now)
        end = crash_id(instance.id, instance.started_ms)
        run.suspects.note_crash(end, now, answered_s)

    def note(
        self,
        run: ActiveCall,
        server: ServerName,
        error: SendError,
        state: _AnswerState | None = None,
    ) -> None:
        """Record a failed send in its call, and log it.

        `state` is None if nothing was sent.
        """
        details = {} if state is None else asdict(state)
        request = None if state is None else run.summary.last_request
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
            parts=run.call.head.parts[:MAX_LOGGED_PARTS],
            fingerprint=run.call.fingerprint.hex(),
            ends=run.suspects.ends,
            **details,
            **request_fields(request),
        )

    def note_unreachable(self, instance: Instance, error: NotSentError) -> None:
        """Record a server to which no connection could be opened."""
        health, now = self._dispatcher.health(instance.id), self._clock()
        if isinstance(error, ConnectionRefusedByHostError):
            self._dispatcher.registry.note_ended(instance, now)
        if health.unreachable(now):
            emit(
                logger,
                Event.SERVER_UNREACHABLE,
                server=instance.id,
                seconds=round(health.backoff_until - now, 2),
                cause=error.message,
            )

"""Report a failed send to all that learn from it, and to the log."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fulmarroad.delivery import RequestState
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
    NotSentError,
    OtherInstanceError,
    SendError,
)

logger = logging.getLogger("fulmarroad.serving")

MAX_LOGGED_PARTS = 10
"""Maximum number of a prompt's parts in a log line."""


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
        self.note(run, instance.id, error, answered_s, request, crashed=crashed)

    def _note_crash(
        self, run: ActiveCall, instance: Instance, answered_s: float
    ) -> None:
        now = self._clock()
        self._dispatcher.health(instance.id).unreachable(now)
        self._dispatcher.registry.note_ended(instance, now)
        end = crash_id(instance.id, instance.started_ms)
        run.suspects.note_crash(end, now, answered_s)

    def note(
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

    def note_unreachable(self, instance: Instance, error: NotSentError) -> None:
        health, now = self._dispatcher.health(instance.id), self._clock()
        if health.unreachable(now):
            emit(
                logger,
                Event.SERVER_UNREACHABLE,
                server=instance.id,
                seconds=round(health.backoff_until - now, 2),
                cause=error.message,
            )

"""Numbered log events; docs/EVENTS.md lists them all."""

from __future__ import annotations

import enum
import logging
import traceback
from pathlib import PurePath
from typing import Any

from attrs import frozen


@frozen
class EventKind:
    """Hold the number, the level and the text of an event."""

    number: int
    level: int
    text: str


_I, _W, _E = logging.INFO, logging.WARNING, logging.ERROR


class Event(enum.Enum):
    """Define every event that a process may log; numbers are never reused."""

    # 100: processes and tasks
    STARTED = EventKind(100, _I, "process started")
    READY = EventKind(101, _I, "process accepts calls")
    SHUTDOWN_BEGUN = EventKind(102, _I, "graceful shutdown begun")
    SHUTDOWN_DONE = EventKind(103, _I, "graceful shutdown done")
    SETTINGS_RELOADED = EventKind(104, _I, "settings reloaded")
    SETTINGS_REJECTED = EventKind(
        105, _E, "settings rejected, previous settings stay in force"
    )
    CALLS_LEFT = EventKind(106, _I, "calls in flight at the end of the drain")
    LOG_LINES_DROPPED = EventKind(107, _W, "log lines dropped")
    TASK_FAILED = EventKind(110, _E, "task failed and is restarted")
    TASK_GIVEN_UP = EventKind(111, _E, "task failed too often")
    CLOCK_PAUSE = EventKind(112, _W, "process did not run for a while")
    LOOP_LATE = EventKind(113, _W, "event loop runs late")
    LOOP_ON_TIME = EventKind(114, _I, "event loop runs on time again")
    CALLS_SHED = EventKind(115, _W, "calls are rejected as the event loop runs late")
    STEP_FAILED = EventKind(116, _E, "step of a task failed and was left out")

    # 200: configuration
    TABLES_ACCEPTED = EventKind(200, _I, "tables accepted")
    TABLES_REJECTED = EventKind(
        201, _E, "tables rejected, last valid ones stay in force"
    )
    TABLES_CONFLICT = EventKind(
        202, _E, "tables rejected, same version with other content"
    )
    TABLES_LOWER = EventKind(203, _W, "lower table version refused")
    SERVICE_UNREACHABLE = EventKind(204, _W, "no answer from configuration service")
    SERVICE_BACK = EventKind(205, _I, "configuration service answers again")
    TABLES_FROM_PEER = EventKind(206, _I, "tables fetched from a peer")
    VM_LIST_CHANGED = EventKind(207, _I, "VM list changed")
    VM_LIST_REJECTED = EventKind(
        208, _W, "VM list rejected, last valid one stays in force"
    )
    CATALOG_IN_FORCE = EventKind(210, _I, "configuration in force")
    STORE_LOST = EventKind(211, _W, "no answer from store")
    STORE_BACK = EventKind(212, _I, "store answers again")
    STORE_HISTORY_LOST = EventKind(213, _W, "store history lost, listed again")
    STORE_ITEM_UNUSABLE = EventKind(214, _W, "unreadable store item ignored")
    STORE_LISTED = EventKind(215, _I, "store listed completely")
    STORE_RETURNED_OLDER = EventKind(216, _W, "store restored from an older copy")
    PLATFORM_NAME_UNKNOWN = EventKind(
        217, _W, "unknown field or header of the platform"
    )
    STORE_LOOKED_BACK = EventKind(218, _I, "servers of before looked up in the store")
    LIST_UNCONFIRMED = EventKind(219, _W, "list of servers not confirmed by the store")

    # 300: membership and roles
    MEMBER_CHANGED = EventKind(300, _I, "member changed state")
    MEMBER_REFUTED = EventKind(301, _W, "suspicion of this VM refuted")
    GOSSIP_REJECTED = EventKind(302, _W, "membership packet rejected")
    ROLE_TAKEN = EventKind(310, _I, "scheduler role taken up")
    ROLE_SETTLED = EventKind(311, _I, "scheduler settled")
    ROLE_GIVEN_UP = EventKind(312, _I, "scheduler role released")
    FOLLOW_CHANGED = EventKind(313, _I, "router follows another scheduler")
    LINK_LOST = EventKind(314, _W, "link to a peer lost")
    PEER_REJECTED = EventKind(315, _W, "frame from a peer rejected")
    PEER_HEARD = EventKind(320, _I, "peer reachable")
    PEER_SILENT = EventKind(321, _W, "no messages from peer")
    REPORT_REJECTED = EventKind(322, _W, "peer's report rejected")
    REPORT_UNSENT = EventKind(323, _W, "report not sent to a peer")
    REPLICA_PULL_FAILED = EventKind(324, _W, "peer returned no copy of the store")
    REPLICA_GIVE_FAILED = EventKind(325, _W, "copy of the store not sent to a peer")
    OWNER_SILENT = EventKind(326, _W, "no answer from the owner of servers")
    OWNER_LOST = EventKind(327, _W, "calls of a lost owner are counted here")
    STREAM_RECORDS_DROPPED = EventKind(328, _W, "records of streams dropped early")
    ENGINES_LISTED = EventKind(329, _I, "engines asked what they have cached")
    ENGINE_LIST_FAILED = EventKind(330, _W, "no list of an engine's cache")

    # 400: backend servers and data centres
    WARMTH_CHANGED = EventKind(400, _I, "backend server changed warmth")
    SERVER_FAILING = EventKind(402, _W, "backend server taken out for failing")
    CENTRE_LEFT = EventKind(410, _I, "data centre taken out of service")
    CENTRE_RETURNED = EventKind(411, _I, "data centre back in service")
    SHARES_TAKEN = EventKind(412, _W, "shares of lost routers taken up")
    SERVER_REGISTERED = EventKind(420, _I, "backend server registered or changed")
    SERVER_GONE = EventKind(421, _I, "backend server removed")
    SERVER_ENDED = EventKind(422, _W, "backend server exited during calls")
    SERVER_LEAVES = EventKind(423, _I, "backend server announced its shutdown")
    SERVER_RESTS = EventKind(424, _I, "backend server asked for rest")
    REST_NOT_FOLLOWED = EventKind(425, _W, "rest not followed as stated")
    SERVERS_NOT_USABLE = EventKind(426, _I, "backend servers without calls from here")
    SERVER_UNREACHABLE = EventKind(427, _W, "backend server can't be reached from here")
    SERVER_END_TOLD = EventKind(428, _I, "peer saw that a backend server exited")

    # 430: workspaces
    WORKSPACE_TURNED_AWAY = EventKind(430, _I, "calls of a workspace rejected here")
    PLACEMENTS_REFUSED = EventKind(431, _I, "placements of a workspace refused or lost")
    PLACEMENT_REQUESTS_UNMET = EventKind(
        432, _I, "requests for places of a workspace refused or not used"
    )
    ADMISSION_QUEUE_STATUS = EventKind(
        433, _I, "calls waiting for places at the owner of servers"
    )
    RETRIES_SCHEDULED = EventKind(434, _I, "returns of refused calls scheduled")
    ENGINE_SLOW = EventKind(435, _I, "engine is slow for the moment")
    ENGINE_RECOVERED = EventKind(436, _I, "engine has its usual speed again")
    CALLS_SPILLED = EventKind(437, _I, "calls sent on to a second owner of servers")

    # 500: requests
    REQUEST_DONE = EventKind(500, _I, "request done")
    REQUEST_REFUSED = EventKind(501, _I, "request refused, not run")
    REQUEST_UNKNOWN = EventKind(502, _W, "outcome of request unknown")
    REQUEST_RETRIED = EventKind(503, _I, "request retried at another backend server")
    STREAM_RESUMED = EventKind(504, _W, "interrupted answer resumed")
    STREAM_BROKEN = EventKind(505, _W, "answer to caller aborted")
    CALLER_LEFT = EventKind(506, _I, "caller disconnected before the answer ended")
    REQUEST_FAILED = EventKind(508, _E, "request failed inside the router")
    SEND_FAILED = EventKind(509, _W, "send to a backend server failed")
    CALLER_HEADERS_LATE = EventKind(
        510, _I, "caller did not send complete headers in time"
    )
    REQUEST_BARRED = EventKind(511, _W, "request not sent, servers exited during it")
    REQUEST_BARRED_NOW = EventKind(512, _W, "request or part is barred from now on")
    STREAM_TAKEN_UP = EventKind(513, _I, "caller takes up a stream")
    STREAM_LOST = EventKind(514, _W, "stream can't go on, its caller is refused")
    SUSPECT_CLEARED = EventKind(515, _I, "a good run cleared a suspect of crashes")
    CALLER_REQUESTS_DROPPED = EventKind(
        516, _I, "connection to caller ended before its requests began"
    )

    # 600: keys
    KEY_FENCED = EventKind(600, _I, "key fenced for a repeat")
    KEY_REPLAYED = EventKind(601, _I, "stored outcome returned for a repeat")
    KEY_REFUSED = EventKind(602, _W, "keyed call refused, not run")
    KEYS_COPIED = EventKind(603, _I, "key records copied, router votes")

    # 700: operators
    ADMIN_REJECTED = EventKind(700, _W, "admin call rejected")
    DRAIN_ASKED = EventKind(701, _I, "drain requested by an operator")


MAX_CAUSE_CHARS = 300
"""Maximum length of an error's text in a log line: it may quote what a caller sent."""


def error_fields(error: BaseException) -> dict[str, str]:
    """Return the log fields of an unexpected error: its cause and where it was raised.

    Of an error group, the first error counts.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    # The frames of libraries don't tell which message could not be handled.
    own = [row for row in frames if "fulmarroad" in row.filename] or frames
    places = [
        f"{PurePath(row.filename).name}:{row.lineno} {row.name}" for row in own[-2:]
    ]
    return {"cause": repr(error)[:MAX_CAUSE_CHARS], "where": ", ".join(places)}


def emit(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Log an event with its number and fields, if its level is enabled."""
    kind = event.value
    if not logger.isEnabledFor(kind.level):
        return
    logger.log(
        kind.level,
        kind.text,
        extra={"event": kind.number, "name_of_event": event.name.lower(), **fields},
    )

"""Hold requests until their owners reply, and know those whose grants were accepted."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

import anyio
from attrs import define, field

from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressReport,
    ReplyKind,
)
from fulmarroad_serving._timers import wait_at_most

MAX_ACCEPTED = 512
"""Maximum number of remembered grants that were accepted: more than a router accepts
within the time for which the network may delay a packet's duplicate."""


class LocalOwner(Protocol):
    """Receive what this router sends to itself as the owner of servers."""

    def receive_request(self, request: PlacementRequest) -> None:
        """Decide on a request of this router."""

    def receive_progress(self, report: ProgressReport) -> None:
        """Apply the progress of this router's calls."""


@define
class PendingRequest:
    """Hold the newest reply to a request until its caller has it."""

    replied: anyio.Event = field(factory=anyio.Event)
    reply: PlacementReply | None = None
    waits: bool = False  # the owner said that another reply follows
    decided: bool = False

    def receive(self, reply: PlacementReply) -> None:
        """Take a reply, unless it came twice or after the decision."""
        is_wait = reply.kind is ReplyKind.WAITS
        if is_wait and (self.waits or self.reply is not None):
            return
        self.waits = self.waits or is_wait
        self.reply = reply
        self.replied.set()

    async def wait(self, timeout_s: float) -> PlacementReply | None:
        """Return the next reply, or None if it does not arrive in time."""
        await wait_at_most(self.replied, timeout_s)
        reply, self.reply = self.reply, None
        self.replied = anyio.Event()
        return reply


@define
class AcceptedRequests:
    """Remember the numbers of requests whose grants were accepted lately."""

    _numbers: OrderedDict[int, None] = field(factory=OrderedDict)  # the oldest first

    def __contains__(self, number: int) -> bool:
        return number in self._numbers

    def add(self, number: int) -> None:
        """Remember a request, and forget the oldest beyond the maximum."""
        self._numbers[number] = None
        if len(self._numbers) > MAX_ACCEPTED:
            self._numbers.popitem(last=False)

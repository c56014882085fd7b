"""Define the commands that tasks send to the coordinator."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from attrs import frozen

from fulmarroad import _messages as m
from fulmarroad._following import Ask, Granted, Rejected
from fulmarroad._peer_client import PeerAddress
from fulmarroad._tables import Tables
from fulmarroad.types import DataCentreName, RouterName

Reply = MemoryObjectSendStream[Granted | Rejected]


@frozen
class Submit:
    """Request a lease; the grant or rejection is sent on `reply`."""

    ask: Ask
    reply: Reply


@frozen
class Cancel:
    """Withdraw a demand whose caller no longer needs it."""

    demand_id: str


@frozen
class RejectDemand:
    """Reject a waiting demand at once with the given rejection."""

    rejection: Rejected


@frozen
class NoteStarted:
    """Report to the scheduler that a lease's request has been sent."""

    lease_id: str


@frozen
class NoteProgress:
    """Add service used by a lease.

    One command for each lease also carries `first_s`, the time to the first byte of its
    answer, and `gap_s`, the mean time between chunks, in seconds.
    """

    lease_id: str
    service: float
    first_s: float | None = None
    gap_s: float | None = None


@frozen
class NoteFinished:
    """Report to the scheduler that a lease ended."""

    report: m.Finished


@frozen
class SetTables:
    """Apply new tables."""

    tables: Tables


@frozen
class SetMembers:
    """Set the live routers and the addresses of peers, as membership reports them."""

    live: Mapping[DataCentreName, tuple[RouterName, ...]]
    addresses: Mapping[RouterName, PeerAddress]


@frozen
class SetVms:
    """Set the published VMs of each data centre."""

    vms: Mapping[DataCentreName, tuple[RouterName, ...]]


@frozen
class StepDownAll:
    """Give up all scheduler roles; `done` is set once the followers are notified."""

    done: anyio.Event


@frozen
class Tick:
    """Run the periodic work that is due at the current time."""


@frozen
class FromPeer:
    """Pass on a follower's message or a report from a stream that a peer opened."""

    peer: RouterName
    message: Any


@frozen
class FromScheduler:
    """Pass on a message from a stream that this router opened."""

    peer: RouterName
    message: Any


@frozen
class LinkUp:
    """Report that a stream to a peer is open."""

    peer: RouterName


@frozen
class LinkLost:
    """Report that a stream to a peer ended."""

    peer: RouterName


@frozen
class Attached:
    """Report that a peer opened a stream; `send` sends a message on it."""

    peer: RouterName
    handle: int
    send: Callable[[Any], None]


@frozen
class Detached:
    """Report that a stream opened by a peer ended."""

    peer: RouterName
    handle: int

"""The typed commands by which tasks talk to the coordinator."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from attrs import frozen

from fulmarroad import _messages as m
from fulmarroad._following import Ask, Granted, Rejected
from fulmarroad._questions import PeerAddress
from fulmarroad._tables import Tables
from fulmarroad.types import DataCentreName, RouterName

Reply = MemoryObjectSendStream[Granted | Rejected]


@frozen
class Submit:
    """Ask for a lease; the answer comes on `reply`."""

    ask: Ask
    reply: Reply


@frozen
class Cancel:
    """Withdraw a demand whose caller is no longer interested."""

    demand_id: str


@frozen
class GiveUp:
    """Refuse a waiting demand at once; its request gets the rejection."""

    rejection: Rejected


@frozen
class NoteStarted:
    """Tell the scheduler that a lease's request has been sent."""

    lease_id: str


@frozen
class NoteProgress:
    """Add service used by a lease, once with how fast its answer comes."""

    lease_id: str
    service: float
    first_s: float | None = None
    gap_s: float | None = None


@frozen
class NoteFinished:
    """Tell the scheduler that a lease ended."""

    report: m.Finished


@frozen
class SetTables:
    """Put new tables in force."""

    tables: Tables


@frozen
class SetMembers:
    """Take the membership's view: live routers and where peers listen."""

    live: Mapping[DataCentreName, tuple[RouterName, ...]]
    addresses: Mapping[RouterName, PeerAddress]


@frozen
class SetVms:
    """Take the published VMs of each data centre."""

    vms: Mapping[DataCentreName, tuple[RouterName, ...]]


@frozen
class StepDownAll:
    """Give up every scheduler's role; `done` is set once followers were told."""

    done: anyio.Event


@frozen
class Tick:
    """Move time on."""


@frozen
class FromPeer:
    """Carry a message on a stream that a peer opened: a follower's or a report."""

    peer: RouterName
    message: Any


@frozen
class FromScheduler:
    """Carry a message on a stream that this router opened."""

    peer: RouterName
    message: Any


@frozen
class LinkUp:
    """Note that a stream to a peer is open."""

    peer: RouterName


@frozen
class LinkLost:
    """Note that a stream to a peer ended."""

    peer: RouterName


@frozen
class Attached:
    """Note that a peer opened a stream."""

    peer: RouterName
    handle: int
    send: Callable[[Any], None]


@frozen
class Detached:
    """Note that a peer's stream ended."""

    peer: RouterName
    handle: int

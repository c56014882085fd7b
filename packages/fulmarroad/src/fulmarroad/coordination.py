"""Coordination of a router with the other routers of the fleet."""

from fulmarroad._commands import (
    Cancel,
    NoteFinished,
    NoteProgress,
    NoteStarted,
    RejectDemand,
    SetMembers,
    SetTables,
    SetVms,
    StepDownAll,
    Submit,
)
from fulmarroad._coordinator import Coordinator
from fulmarroad._follower import Follower
from fulmarroad._following import (
    Ask,
    Decision,
    Follow,
    FollowChange,
    Granted,
    Lease,
    Rejected,
    SendTo,
)
from fulmarroad._peer_client import PeerAddress, PeerClient
from fulmarroad._roles import RoleOutput, Roles, ToFollower, ToSchedulers

__all__ = [
    "Ask",
    "Cancel",
    "Coordinator",
    "Decision",
    "Follow",
    "FollowChange",
    "Follower",
    "RejectDemand",
    "Granted",
    "Lease",
    "NoteFinished",
    "NoteProgress",
    "NoteStarted",
    "PeerAddress",
    "PeerClient",
    "Rejected",
    "RoleOutput",
    "Roles",
    "SendTo",
    "StepDownAll",
    "Submit",
    "SetMembers",
    "SetTables",
    "SetVms",
    "ToFollower",
    "ToSchedulers",
]

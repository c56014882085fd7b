"""State of each member, merged so that the order of the updates doesn't matter."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from attrs import evolve, frozen

from fulmarroad._messages import MemberUpdate
from fulmarroad.types import DataCentreName, MemberState, RouterName

DEAD_MEMBER_TTL_S = 7200.0
"""How long a dead member is kept and probed occasionally, in seconds.

Regions are sometimes cut off from each other for an hour. Both sides must still know
each other's members when the network recovers, even if the VM list is unavailable. With
800 VMs replaced per day, about 70 dead members are kept.
"""

TOMBSTONE_TTL_S = 86400.0
"""How long a tombstone of a removed member is kept, in seconds.

A process that resumes after hours may still spread updates that say the member is
alive. Without the tombstone these would restore it until probes find it dead again.
"""

MAX_NAME_BYTES = 64
"""Maximum length of a name or host, which bounds the size of a packet."""

# Within one incarnation a state is replaced only by one of a higher rank.
_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@frozen
class Member:
    """Hold the state of another VM as this router knows it."""

    router: RouterName
    incarnation: int
    state: MemberState
    data_centre: DataCentreName
    host: str
    peer_port: int
    gossip_port: int
    since: float  # when this router recorded the state, on its own clock

    @property
    def update(self) -> MemberUpdate:
        """Return the update that spreads this state."""
        return MemberUpdate(
            self.router,
            self.incarnation,
            self.state,
            self.data_centre,
            self.host,
            self.peer_port,
            self.gossip_port,
        )


@frozen
class MemberChange:
    """Describe a change of a member's state and its cause."""

    router: RouterName
    data_centre: DataCentreName
    before: MemberState | None  # None: the member was not known
    after: MemberState
    incarnation: int
    cause: str


def supersedes(update: MemberUpdate, known: MemberUpdate | Member) -> bool:
    """Return whether an update replaces the known state of a member.

    The higher incarnation wins. Only the VM itself raises it, so a report that it is
    dead never replaces a later run of it. Within one incarnation the higher-ranked
    state wins.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _RANK[update.state] > _RANK[known.state]


class MemberTable:
    """Hold the state of every other VM."""

    def __init__(self) -> None:
        self._members: dict[RouterName, Member] = {}
        self._tombstones: dict[RouterName, Member] = {}
        self._changes: list[MemberChange] = []

    @property
    def members(self) -> Mapping[RouterName, Member]:
        """Return all members that have not been removed."""
        return MappingProxyType(self._members)

    def get(self, router: RouterName) -> Member | None:
        """Return a member, or the tombstone of a removed one."""
        return self._members.get(router) or self._tombstones.get(router)

    def merge(self, update: MemberUpdate, cause: str, now: float) -> Member | None:
        """Merge an update; return the new state, or None if nothing changed."""
        known = self.get(update.router)
        if known is not None and not supersedes(update, known):
            return None
        if not _is_usable(update, known):
            return None
        member = _build_member(update, known, now)
        self._tombstones.pop(update.router, None)
        self._members[update.router] = member
        self._record_merge(known, member, cause)
        return member

    def remove_expired(self, now: float) -> list[RouterName]:
        """Remove members dead for `DEAD_MEMBER_TTL_S` and return their names."""
        old = [
            member
            for member in self._members.values()
            if member.state is MemberState.DEAD
            and now - member.since >= DEAD_MEMBER_TTL_S
        ]
        for member in old:
            self._tombstones[member.router] = self._members.pop(member.router)
        for member in list(self._tombstones.values()):
            if now - member.since >= TOMBSTONE_TTL_S:
                del self._tombstones[member.router]
        return [member.router for member in old]

    def changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def record_change(self, change: MemberChange) -> None:
        """Record a change of this router's own state."""
        self._changes.append(change)

    def _record_merge(self, known: Member | None, member: Member, cause: str) -> None:
        change = MemberChange(
            member.router,
            member.data_centre,
            known.state if known else None,
            member.state,
            member.incarnation,
            cause,
        )
        self._changes.append(change)


def _is_usable(update: MemberUpdate, known: Member | None) -> bool:
    """Return whether the names fit into a packet and the member can be probed.

    A dead state of an unknown member carries no address and is rejected too: there is
    no member to mark dead, and a member that is alive refutes it with a higher
    incarnation.
    """
    names = (update.router, update.data_centre, update.host)
    if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
        return False
    return known is not None or bool(update.host and update.gossip_port)


def _build_member(update: MemberUpdate, known: Member | None, now: float) -> Member:
    member = Member(
        update.router,
        update.incarnation,
        update.state,
        update.data_centre,
        update.host,
        update.peer_port,
        update.gossip_port,
        now,
    )
    if update.host or known is None:
        return member
    return evolve(
        member,
        data_centre=known.data_centre,
        host=known.host,
        peer_port=known.peer_port,
        gossip_port=known.gossip_port,
    )

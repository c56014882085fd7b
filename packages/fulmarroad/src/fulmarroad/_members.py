"""What is believed of each VM, merged so that every order of news ends the same."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from attrs import evolve, frozen

from fulmarroad._messages import MemberUpdate
from fulmarroad.types import DataCentreName, MemberState, RouterName

FORGET_S = 7200.0
"""How long a dead member is kept and probed now and then, in seconds.

Regions lose each other for an hour at times; both halves must still know each other
when the network is back, also where the VM list does not answer. At 800 replaced VMs a
day some 70 dead ones are kept.
"""

GRAVE_S = 86400.0
"""How long the last incarnation of a forgotten member is remembered, in seconds.

A process that wakes after hours may still spread that the member lives; without the
grave that would bring it back for as long as it takes to find it dead again.
"""

MAX_NAME_BYTES = 64
"""Longest name or host that is taken, so that a packet's size stays bounded."""

# Within one incarnation the later state wins, and none goes back to an earlier one.
_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@frozen
class Member:
    """Describe one VM as this router believes it to be."""

    router: RouterName
    incarnation: int
    state: MemberState
    data_centre: DataCentreName
    host: str
    peer_port: int
    gossip_port: int
    since: float  # when this state was first believed, on this router's clock

    @property
    def update(self) -> MemberUpdate:
        """Return the belief as it is spread."""
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
    """Say that a belief changed, and why."""

    router: RouterName
    data_centre: DataCentreName
    before: MemberState | None  # None: the member was not known
    after: MemberState
    incarnation: int
    cause: str


def supersedes(update: MemberUpdate, known: MemberUpdate | Member) -> bool:
    """Tell whether news replaces what is known.

    The higher incarnation wins, which only the VM itself raises; so a dead verdict
    never beats a later life. Equal ones go by the order of the states.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _RANK[update.state] > _RANK[known.state]


class MemberTable:
    """Hold the belief of every other VM."""

    def __init__(self) -> None:
        self._members: dict[RouterName, Member] = {}
        self._graves: dict[RouterName, Member] = {}
        self._changes: list[MemberChange] = []

    @property
    def members(self) -> Mapping[RouterName, Member]:
        """Return every member that is not forgotten."""
        return MappingProxyType(self._members)

    def get(self, router: RouterName) -> Member | None:
        """Return a member, also a forgotten one as long as its grave is kept."""
        return self._members.get(router) or self._graves.get(router)

    def merge(self, update: MemberUpdate, cause: str, now: float) -> Member | None:
        """Take news in; return the new belief, or None if nothing changed."""
        known = self.get(update.router)
        if known is not None and not supersedes(update, known):
            return None
        if not _is_usable(update, known):
            return None
        member = _believe(update, known, now)
        self._graves.pop(update.router, None)
        self._members[update.router] = member
        self._note(known, member, cause)
        return member

    def forget(self, now: float) -> list[RouterName]:
        """Drop members that have long been dead and return their names."""
        old = [
            member
            for member in self._members.values()
            if member.state is MemberState.DEAD and now - member.since >= FORGET_S
        ]
        for member in old:
            self._graves[member.router] = self._members.pop(member.router)
        for member in list(self._graves.values()):
            if now - member.since >= GRAVE_S:
                del self._graves[member.router]
        return [member.router for member in old]

    def changes(self) -> list[MemberChange]:
        """Return the changes since last asked."""
        changes, self._changes = self._changes, []
        return changes

    def note(self, change: MemberChange) -> None:
        """Add a change of this router itself."""
        self._changes.append(change)

    def _note(self, known: Member | None, member: Member, cause: str) -> None:
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
    """Refuse news that could not be probed or would not fit into a packet.

    A death of which the life was never known is dropped as well: there is nothing
    to mark dead, and its subject refutes it with a higher incarnation if it lives.
    """
    names = (update.router, update.data_centre, update.host)
    if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
        return False
    return known is not None or bool(update.host and update.gossip_port)


def _believe(update: MemberUpdate, known: Member | None, now: float) -> Member:
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

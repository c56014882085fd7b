"""What this router believes of itself and of the others, and what it must tell."""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve

from fulmarroad._members import Member, MemberChange, MemberTable, supersedes
from fulmarroad._messages import MemberUpdate
from fulmarroad._piggyback import UpdateQueue
from fulmarroad._suspicion import SuspicionClock
from fulmarroad._vmlist import VmList
from fulmarroad.types import DataCentreName, MemberState, RouterName

Address = tuple[str, int]

_MAY_HOLD_ROLES = (MemberState.ALIVE, MemberState.SUSPECT)


class MembershipView:
    """Merge news, run the suspects' timers and refute what is said of this router."""

    def __init__(self, me: MemberUpdate, now: float) -> None:
        self._me = me
        self._table = MemberTable()
        self._queue = UpdateQueue()
        self.clock = SuspicionClock(now)
        self.vm_list = VmList()
        self.urgent = True
        self._queue.add(me)

    @property
    def me(self) -> MemberUpdate:
        """Return what this router says of itself."""
        return self._me

    @property
    def table(self) -> MemberTable:
        """Return the beliefs of the other VMs."""
        return self._table

    @property
    def count(self) -> int:
        """Return how many members are known, dead ones included."""
        return len(self._table.members) + 1

    def get(self, router: RouterName) -> Member | None:
        """Return a member that is not forgotten."""
        return self._table.members.get(router)

    def is_reachable(self, router: RouterName) -> bool:
        """Tell whether a router is a member that is not dead."""
        member = self.get(router)
        return member is not None and member.state is not MemberState.DEAD

    def others(self) -> set[RouterName]:
        """Return the other members that are not dead."""
        return {
            router
            for router, member in self._table.members.items()
            if member.state is not MemberState.DEAD
        }

    def others_after(self, after: RouterName) -> list[RouterName]:
        """Return the other members that are not dead and come after a name."""
        return [
            router
            for router, member in self._table.members.items()
            if router > after and member.state is not MemberState.DEAD
        ]

    def live(self, data_centre: DataCentreName | None) -> tuple[RouterName, ...]:
        """Return the VMs that may hold roles."""
        rows: list[Member | MemberUpdate] = [self._me, *self._table.members.values()]
        return tuple(
            sorted(
                row.router
                for row in rows
                if row.state in _MAY_HOLD_ROLES
                and data_centre in (None, row.data_centre)
                and not self.vm_list.is_leaving(row.router)
            )
        )

    def lost(self) -> Collection[RouterName]:
        """Return the dead members and the VMs of the list that never answered."""
        names = set(self._table.members) | set(self.vm_list.published())
        return names - self.others() - {self._me.router}

    def address(self, router: RouterName) -> Address | None:
        """Return where a router listens; the list has the newer word on a dead one."""
        vm = self.vm_list.get(router)
        member = self._table.get(router)
        if vm is not None and not self.is_reachable(router):
            return vm.host, vm.gossip_port
        return (member.host, member.gossip_port) if member else None

    def merge_update(self, update: MemberUpdate, now: float, *, repeat: bool) -> None:
        """Merge news; `repeat` false keeps them from being spread further."""
        if update.router == self._me.router:
            self._defend(update)
            return
        member = self._table.merge(update, "gossip", now)
        if member is not None:
            self._follow_up(member, now, repeat=repeat)

    def declare_state(
        self, router: RouterName, state: MemberState, cause: str, now: float
    ) -> None:
        """Change a belief by this router's own finding and spread it at once."""
        verdict = evolve(self._table.members[router].update, state=state)
        member = self._table.merge(verdict, cause, now)
        if member is not None:
            self._follow_up(member, now, repeat=True)
            self.urgent = True

    def leave(self) -> bool:
        """Mark this router as leaving; return whether it was not yet."""
        if self._me.state is MemberState.LEAVING:
            return False
        self._set_me(MemberState.LEAVING, self._me.incarnation, "left")
        return True

    def start_again(self) -> None:
        """Drop the news that a pause made old."""
        self._queue.clear()
        self._queue.add(self._me)

    def updates_for(self, router: RouterName) -> tuple[MemberUpdate, ...]:
        """Return this router's own state, what the receiver must refute, and news.

        One that may not be there gets no news, or they would count as spread.
        """
        belief = self._table.get(router)
        if belief is None:
            return (self._me,)
        if belief.state is not MemberState.ALIVE:
            return (self._me, belief.update)
        return self._queue.take([self._me], self.count)

    def _follow_up(self, member: Member, now: float, *, repeat: bool) -> None:
        if repeat:
            self._queue.add(member.update)
            # Callers wait for what a lost VM held until all know that it is lost.
            self.urgent |= member.state in (MemberState.DEAD, MemberState.LEAVING)
        self.clock.clear(member.router)
        if member.state is MemberState.SUSPECT:
            self.clock.record_reported_suspicion(member.router, self.count, now)

    def _defend(self, update: MemberUpdate) -> None:
        """Refute what is said of this router, or of its former life, if it counts."""
        if supersedes(update, self._me):
            self._set_me(self._me.state, update.incarnation + 1, "refuted")

    def _set_me(self, state: MemberState, incarnation: int, cause: str) -> None:
        before = self._me.state
        self._me = evolve(self._me, state=state, incarnation=incarnation)
        self._queue.add(self._me)
        self.urgent = True
        name, centre = self._me.router, self._me.data_centre
        change = MemberChange(name, centre, before, state, incarnation, cause)
        self._table.note(change)

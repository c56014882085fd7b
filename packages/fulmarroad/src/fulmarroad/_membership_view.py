"""State of this router and of the other members, and the updates to spread."""

from __future__ import annotations

from collections.abc import Collection

from attrs import evolve

from fulmarroad._members import Member, MemberChange, MemberTable, supersedes
from fulmarroad._messages import MemberUpdate
from fulmarroad._piggyback import UpdateQueue
from fulmarroad._suspicion import SuspicionTimers
from fulmarroad._vmlist import VmList
from fulmarroad.types import DataCentreName, MemberState, RouterName

Address = tuple[str, int]

_MAY_HOLD_ROLES = (MemberState.ALIVE, MemberState.SUSPECT)


class MembershipView:
    """Merge updates, run suspicion timers and refute updates about this router."""

    def __init__(self, me: MemberUpdate, now: float) -> None:
        self._me = me
        self._table = MemberTable()
        self._queue = UpdateQueue()
        self.timers = SuspicionTimers(now)
        self.vm_list = VmList()
        self.push_pending = True
        self._queue.add(me)

    @property
    def me(self) -> MemberUpdate:
        """Return this router's own member update."""
        return self._me

    @property
    def table(self) -> MemberTable:
        """Return the states of the other members."""
        return self._table

    @property
    def count(self) -> int:
        """Return the number of members, with this router and dead ones."""
        return len(self._table.members) + 1

    def get(self, router: RouterName) -> Member | None:
        """Return a member that has not been removed."""
        return self._table.members.get(router)

    def is_reachable(self, router: RouterName) -> bool:
        """Return whether a router is a member that is not dead."""
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
        """Return the other members that are not dead and sort after a name."""
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

    def unreachable(self) -> Collection[RouterName]:
        """Return the dead members and the listed VMs that never answered."""
        names = set(self._table.members) | set(self.vm_list.published())
        return names - self.others() - {self._me.router}

    def address(self, router: RouterName) -> Address | None:
        """Return a router's address; the VM list takes precedence for a dead one."""
        vm = self.vm_list.get(router)
        member = self._table.get(router)
        if vm is not None and not self.is_reachable(router):
            return vm.host, vm.gossip_port
        return (member.host, member.gossip_port) if member else None

    def merge_update(
        self, update: MemberUpdate, now: float, *, propagate: bool
    ) -> None:
        """Merge an update; spread it further only if `propagate` is set."""
        if update.router == self._me.router:
            self._refute(update)
            return
        member = self._table.merge(update, "gossip", now)
        if member is not None:
            self._handle_change(member, now, propagate=propagate)

    def declare_state(
        self, router: RouterName, state: MemberState, cause: str, now: float
    ) -> None:
        """Change a member's state by this router's own probes and push it at once."""
        declared = evolve(self._table.members[router].update, state=state)
        member = self._table.merge(declared, cause, now)
        if member is not None:
            self._handle_change(member, now, propagate=True)
            self.push_pending = True

    def leave(self) -> bool:
        """Mark this router as leaving; return False if it already was."""
        if self._me.state is MemberState.LEAVING:
            return False
        self._set_me(MemberState.LEAVING, self._me.incarnation, "left")
        return True

    def clear_stale_updates(self) -> None:
        """Drop the queued updates, which a pause made outdated."""
        self._queue.clear()
        self._queue.add(self._me)

    def updates_for(self, router: RouterName) -> tuple[MemberUpdate, ...]:
        """Return the updates to piggyback on a packet to a router.

        The first is this router's own. A receiver that is not known to be alive gets
        only its own state besides, which it may have to refute: queued updates would
        count as sent although it may never receive them.
        """
        member = self._table.get(router)
        if member is None:
            return (self._me,)
        if member.state is not MemberState.ALIVE:
            return (self._me, member.update)
        return self._queue.take_for_packet([self._me], self.count)

    def _handle_change(self, member: Member, now: float, *, propagate: bool) -> None:
        if propagate:
            self._queue.add(member.update)
            # Callers that need a role of a lost VM wait until all routers know of its
            # loss.
            self.push_pending |= member.state in (MemberState.DEAD, MemberState.LEAVING)
        self.timers.clear(member.router)
        if member.state is MemberState.SUSPECT:
            self.timers.record_reported_suspicion(member.router, self.count, now)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update that supersedes this router's own state."""
        if supersedes(update, self._me):
            self._set_me(self._me.state, update.incarnation + 1, "refuted")

    def _set_me(self, state: MemberState, incarnation: int, cause: str) -> None:
        before = self._me.state
        self._me = evolve(self._me, state=state, incarnation=incarnation)
        self._queue.add(self._me)
        self.push_pending = True
        name, centre = self._me.router, self._me.data_centre
        change = MemberChange(name, centre, before, state, incarnation, cause)
        self._table.record_change(change)

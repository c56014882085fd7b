"""Say which units of a backend server a scheduler may grant: the shares lent to it.

Pattern of failure: a data centre splits inside while both sides still reach the same
backend servers. Each side elects its own scheduler, and two schedulers that each grant
the whole limit put twice the load on every server; an operator would see each side's
books in order and the servers falling over. Every unit therefore belongs to one router
of the published list, by hash, and a scheduler grants it only while that router lends
it. A router lends to the one scheduler that it follows.

A lease outlives the lending under which it was granted, so a unit that changes sides
can run twice for one lease's length. A warm server bears that; one that is not warm
may not, so its units ask for more (`Shares.exclusive_units`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from attrs import define

from fulmarroad.types import RouterName, ServerName, Unit

LENDING_TERM_S = 2.0
"""How long one lending lasts: two heartbeats, so that a late answer costs nothing."""

START_WINDOW_S = 1.6
"""How long after its grant a lease may start, by its own router's clock."""

LEND_QUARANTINE_S = LENDING_TERM_S + START_WINDOW_S
"""When the last grant under a lending that ended elsewhere has started or lapsed."""

LONGEST_LEASE_S = 60.0
"""Default for the longest timeout of the pool's routes."""

TAKE_UP_DELAY_S = 5.0
"""How long a router is lost before its share is taken up: longer than the quarantine
and than a scheduler's change of hands, so a restart takes up nothing."""

VMS_SETTLE_S = 5.0
"""Time in which a new VM list is in force everywhere; until then both lists count."""

Owner = Callable[[Unit, Collection[RouterName]], RouterName]


@define
class Lending:
    """Hold since when and until when a router lends without a break."""

    since: float
    until: float
    seasoned: bool = False


class Shares:
    """Hold who lends what to one scheduler.

    `longest_lease_s` is the longest time that a lease of the pool can run. With
    `handed_over` the former scheduler gave the role up in good order and grants no
    more, so its last grants need not be waited for.
    """

    def __init__(
        self, owner: Owner, *, longest_lease_s: float, handed_over: bool
    ) -> None:
        self._owner = owner
        self._longest_lease_s = longest_lease_s
        self._quarantine_s = 0.0 if handed_over else LEND_QUARANTINE_S
        self._vms: frozenset[RouterName] = frozenset()
        self._former_vms: frozenset[RouterName] = frozenset()
        self._former_until = -math.inf
        self._lendings: dict[RouterName, Lending] = {}
        self._lost: dict[RouterName, float] = {}
        self._owners: dict[ServerName, list[RouterName]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that grows whenever an answer given here may have changed."""
        return self._generation

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Take the published VMs of the data centre, which own the units."""
        new = frozenset(vms)
        if new == self._vms:
            return
        if self._vms:
            self._former_vms = self._vms
            self._former_until = now + VMS_SETTLE_S
        self._vms = new
        self._owners.clear()
        self._generation += 1

    def lend(self, router: RouterName, until: float, now: float) -> None:
        """Let a router's units be granted until a time."""
        self._lost.pop(router, None)
        held = self._lendings.get(router)
        if held is not None and now < held.until:
            held.until = max(held.until, until)
            return
        self._lendings[router] = Lending(now, until)
        self._generation += 1

    def recall(self, router: RouterName) -> None:
        """End a router's lending, for it left in good order."""
        if self._lendings.pop(router, None) is not None:
            self._generation += 1

    def mark_lost(self, router: RouterName, now: float) -> None:
        """Note that a router is dead or cut off."""
        self.recall(router)
        self._lost.setdefault(router, now)
        self._generation += 1

    def mark_seen(self, router: RouterName) -> None:
        """Give a lost router's share back."""
        if self._lost.pop(router, None) is not None:
            self._generation += 1

    def valid_until(self, now: float) -> float:
        """Return when an answer given now may change by time alone."""
        times = [
            self._former_until,
            *(at + TAKE_UP_DELAY_S for at in self._lost.values()),
        ]
        for lending in self._lendings.values():
            times.append(lending.until)
            if not lending.seasoned:
                times.append(lending.since + self._quarantine_s)
                times.append(lending.since + self._long_quarantine_s())
        return min((at for at in times if at > now), default=math.inf)

    def lent(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the units below a limit whose owners lend them."""
        holding = self._holding(now)
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in holding]

    def lost(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the units below a limit whose owners have been lost for a while."""
        ripe = {at for at, when in self._lost.items() if now >= when + TAKE_UP_DELAY_S}
        if not ripe:
            return []
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in ripe]

    def exclusive_units(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the units below a limit that no other scheduler can be using.

        A lending is seasoned when every lease granted elsewhere under a former one has
        ended or is known here. With seasoned lendings of more than half of the
        published VMs nobody else has as many, so all units are safe, a dead router's
        too; with exactly half, those of the lenders; with fewer, none.
        """
        self._season(now)
        seasoned = {
            router for router in self._holding(now) if self._lendings[router].seasoned
        }
        if now < self._former_until and not _most(seasoned, self._former_vms):
            return []
        if _most(seasoned, self._vms):
            return list(range(limit))
        if now < self._former_until or 2 * len(seasoned & self._vms) < len(self._vms):
            return []
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in seasoned]

    def _long_quarantine_s(self) -> float:
        return self._longest_lease_s + LEND_QUARANTINE_S

    def _season(self, now: float) -> None:
        # All published VMs follow this scheduler: every lease came along with their
        # hellos. Otherwise one that is out of sight may run any unit to its deadline.
        complete = self._vms <= self._holding(now)
        wait = self._quarantine_s if complete else self._long_quarantine_s()
        for lending in self._lendings.values():
            if now >= lending.since + wait:
                lending.seasoned = True

    def _holding(self, now: float) -> set[RouterName]:
        return {router for router, held in self._lendings.items() if now < held.until}

    def _owners_of(self, server: ServerName, limit: int) -> list[RouterName]:
        owners = self._owners.setdefault(server, [])
        if not self._vms:
            return [""] * limit
        for index in range(len(owners), limit):
            owners.append(self._owner(Unit(server, index), self._vms))
        return owners


def _most(routers: set[RouterName], vms: frozenset[RouterName]) -> bool:
    return 2 * len(routers & vms) > len(vms)

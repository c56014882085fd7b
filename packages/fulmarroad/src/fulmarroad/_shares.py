"""Units of a backend server that a scheduler may grant because routers lend them.

This guards against a network partition within a data centre while both sides still
reach the same backend servers. Each side elects its own scheduler. If both schedulers
granted the whole limit, every server would get twice the load; operators would see
overloaded servers although the records of each side are consistent. Every unit
therefore belongs to one router of the published VM list, by hash, and a scheduler
grants it only while that router lends it. A router lends to the one scheduler that it
follows.

A lease outlives the lending under which it was granted, so a unit that changes sides
can be used twice for the length of one lease. A warm server can bear that. A server
that is not warm may not, so its units are subject to stricter conditions, see
`Shares.exclusive_units`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from attrs import define

from fulmarroad.types import RouterName, ServerName, Unit

LENDING_TERM_S = 2.0
"""Seconds that one lending lasts: two heartbeats, so that a late one does no harm."""

START_WINDOW_S = 1.6
"""Seconds after the grant in which a lease may start, by the clock of its router."""

LEND_QUARANTINE_S = LENDING_TERM_S + START_WINDOW_S
"""Seconds until all grants under a lending to another scheduler started or lapsed."""

LONGEST_LEASE_S = 60.0
"""Default for the longest timeout of the pool's routes, in seconds."""

TAKE_UP_DELAY_S = 5.0
"""Seconds after the loss of a router before its units may be used without a lending.

It is longer than the quarantine and than the replacement of a scheduler, so that a
restart of a router has no effect.
"""

VM_LIST_SPREAD_S = 5.0
"""Seconds until a new VM list is in force everywhere; until then both lists count."""

Owner = Callable[[Unit, Collection[RouterName]], RouterName]


@define
class Lending:
    """Hold the period in which a router lends its units without interruption."""

    since: float
    until: float
    quarantine_over: bool = False


class Shares:
    """Hold the units that routers lend to one scheduler.

    `longest_lease_s` is the longest time in seconds that a lease of the pool can run.
    `handed_over` means that the former scheduler stepped down in good order and grants
    no more, so that there is no need to wait for its last grants.
    """

    def __init__(
        self, owner: Owner, *, longest_lease_s: float, handed_over: bool
    ) -> None:
        self._owner = owner
        self._longest_lease_s = longest_lease_s
        self._quarantine_s = 0.0 if handed_over else LEND_QUARANTINE_S
        self._vms: frozenset[RouterName] = frozenset()
        self._former_vms: frozenset[RouterName] = frozenset()
        self._former_vms_until = -math.inf
        self._lendings: dict[RouterName, Lending] = {}
        self._lost: dict[RouterName, float] = {}
        self._owners: dict[ServerName, list[RouterName]] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that increases whenever the usable units may have changed."""
        return self._generation

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Set the published VMs of the data centre, which own the units."""
        new = frozenset(vms)
        if new == self._vms:
            return
        if self._vms:
            self._former_vms = self._vms
            self._former_vms_until = now + VM_LIST_SPREAD_S
        self._vms = new
        self._owners.clear()
        self._generation += 1

    def lend(self, router: RouterName, until: float, now: float) -> None:
        """Allow grants of a router's units until a time."""
        self._lost.pop(router, None)
        held = self._lendings.get(router)
        if held is not None and now < held.until:
            held.until = max(held.until, until)
            return
        self._lendings[router] = Lending(now, until)
        self._generation += 1

    def recall(self, router: RouterName) -> None:
        """End the lending of a router that left in good order."""
        if self._lendings.pop(router, None) is not None:
            self._generation += 1

    def mark_lost(self, router: RouterName, now: float) -> None:
        """Record that a router is dead or unreachable and end its lending."""
        self.recall(router)
        self._lost.setdefault(router, now)
        self._generation += 1

    def mark_seen(self, router: RouterName) -> None:
        """Record that a lost router is reachable again and stop using its units."""
        if self._lost.pop(router, None) is not None:
            self._generation += 1

    def valid_until(self, now: float) -> float:
        """Return when the usable units may next change without an event."""
        times = [
            self._former_vms_until,
            *(at + TAKE_UP_DELAY_S for at in self._lost.values()),
        ]
        for lending in self._lendings.values():
            times.append(lending.until)
            if not lending.quarantine_over:
                times.append(lending.since + self._quarantine_s)
                times.append(lending.since + self._lease_quarantine_s())
        return min((at for at in times if at > now), default=math.inf)

    def lent(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the indexes of the units below a limit that their owners lend."""
        lenders = self._current_lenders(now)
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in lenders]

    def lost(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the units below a limit of owners lost for `TAKE_UP_DELAY_S`."""
        long_lost = {
            at for at, when in self._lost.items() if now >= when + TAKE_UP_DELAY_S
        }
        if not long_lost:
            return []
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in long_lost]

    def exclusive_units(self, server: ServerName, limit: int, now: float) -> list[int]:
        """Return the units below a limit that no other scheduler can be using.

        A lending is in quarantine until every lease that another scheduler granted
        under a former lending has ended or is known here. If more than half of the
        published VMs have lendings past their quarantine here, no other scheduler has
        as many, so all units are safe, including those of a dead router. With exactly
        half, only the units of these lenders are safe; with fewer, none are.
        """
        self._end_quarantines(now)
        trusted = {
            router
            for router in self._current_lenders(now)
            if self._lendings[router].quarantine_over
        }
        if now < self._former_vms_until and not _is_majority(trusted, self._former_vms):
            return []
        if _is_majority(trusted, self._vms):
            return list(range(limit))
        if now < self._former_vms_until or 2 * len(trusted & self._vms) < len(
            self._vms
        ):
            return []
        owners = self._owners_of(server, limit)
        return [index for index in range(limit) if owners[index] in trusted]

    def _lease_quarantine_s(self) -> float:
        return self._longest_lease_s + LEND_QUARANTINE_S

    def _end_quarantines(self, now: float) -> None:
        # If all published VMs follow this scheduler, their hellos contained every
        # running lease. Otherwise a VM that doesn't may use any unit until the
        # deadline of its lease.
        complete = self._vms <= self._current_lenders(now)
        wait = self._quarantine_s if complete else self._lease_quarantine_s()
        for lending in self._lendings.values():
            if now >= lending.since + wait:
                lending.quarantine_over = True

    def _current_lenders(self, now: float) -> set[RouterName]:
        return {router for router, held in self._lendings.items() if now < held.until}

    def _owners_of(self, server: ServerName, limit: int) -> list[RouterName]:
        owners = self._owners.setdefault(server, [])
        if not self._vms:
            return [""] * limit
        for index in range(len(owners), limit):
            owners.append(self._owner(Unit(server, index), self._vms))
        return owners


def _is_majority(routers: set[RouterName], vms: frozenset[RouterName]) -> bool:
    return 2 * len(routers & vms) > len(vms)

"""The published VM list: a hint to the membership, and the basis of ownership."""

from __future__ import annotations

from collections.abc import Collection

from attrs import frozen

from fulmarroad.types import DataCentreName, RouterName


@frozen
class VmEntry:
    """Describe one VM as the platform publishes it."""

    router: RouterName
    data_centre: DataCentreName
    host: str
    peer_port: int
    gossip_port: int
    leaving: bool = False


class VmList:
    """Keep the last usable list and say what may be concluded from it.

    The list lags. What goes wrong if it were believed: a VM that the list dropped too
    early would lose its running work, one that it still names would be given shards
    that nobody schedules. One would notice callers waiting on a VM that is long gone.
    So a VM missing from the list is not dead, one in the list is not live before it
    answers, and only two things are taken from it: whom to probe, and that a VM marked
    leaving gets no new role. Units and key groups go by the list and not by liveness,
    since the two sides of a split see the same list but not the same VMs.
    """

    def __init__(self) -> None:
        self._entries: dict[RouterName, VmEntry] = {}

    @property
    def entries(self) -> Collection[VmEntry]:
        """Return the entries of the list in force."""
        return self._entries.values()

    def offer(self, entries: Collection[VmEntry]) -> bool:
        """Take a new list over; return whether anything changed.

        An empty list is not believed: the reader itself is a VM, so that the platform
        must be wrong, and with it every unit and key group would lose its owners.
        """
        offered = {entry.router: entry for entry in entries}
        if not offered or offered == self._entries:
            return False
        self._entries = offered
        return True

    def get(self, router: RouterName) -> VmEntry | None:
        """Return a VM's entry."""
        return self._entries.get(router)

    def published(
        self, data_centre: DataCentreName | None = None
    ) -> tuple[RouterName, ...]:
        """Return the VMs of a data centre, leaving ones too, as owners go by them."""
        return tuple(
            sorted(
                entry.router
                for entry in self.entries
                if data_centre in (None, entry.data_centre)
            )
        )

    def data_centres(self) -> tuple[DataCentreName, ...]:
        """Return the data centres that have VMs."""
        return tuple(sorted({entry.data_centre for entry in self.entries}))

    def is_leaving(self, router: RouterName) -> bool:
        """Tell whether the list marks a VM as leaving."""
        entry = self._entries.get(router)
        return entry is not None and entry.leaving

"""Published VM list: a hint for the membership, and the basis of ownership."""

from __future__ import annotations

from collections.abc import Collection

from attrs import frozen

from fulmarroad.types import DataCentreName, RouterName


@frozen
class VmEntry:
    """Describe a VM as published by the platform."""

    router: RouterName
    data_centre: DataCentreName
    host: str
    peer_port: int
    gossip_port: int
    leaving: bool = False


class VmList:
    """Hold the last usable VM list.

    The list may be outdated and does not decide which VMs are live. Otherwise a VM
    that it dropped too early would lose its running work, and a removed VM that it
    still names would get shards that no router schedules, with callers waiting on it.
    So a VM missing from the list is not dead, and a listed VM is not live before it
    answers. Membership uses only two facts of the list: which VMs to probe, and that
    a VM marked leaving gets no new role. Units and key groups are assigned by the list
    and not by liveness, since the two sides of a partition see the same list but not
    the same live VMs.
    """

    def __init__(self) -> None:
        self._entries: dict[RouterName, VmEntry] = {}

    @property
    def entries(self) -> Collection[VmEntry]:
        """Return the entries of the current list."""
        return self._entries.values()

    def replace(self, entries: Collection[VmEntry]) -> bool:
        """Replace the list; return whether anything changed.

        An empty list is ignored. It must be wrong, as this router is itself a VM, and
        it would leave every unit and key group without owners.
        """
        new_entries = {entry.router: entry for entry in entries}
        if not new_entries or new_entries == self._entries:
            return False
        self._entries = new_entries
        return True

    def get(self, router: RouterName) -> VmEntry | None:
        """Return a VM's entry."""
        return self._entries.get(router)

    def published(
        self, data_centre: DataCentreName | None = None
    ) -> tuple[RouterName, ...]:
        """Return the VMs of one or all data centres; leaving ones are owners too."""
        return tuple(
            sorted(
                entry.router
                for entry in self.entries
                if data_centre in (None, entry.data_centre)
            )
        )

    def data_centres(self) -> tuple[DataCentreName, ...]:
        """Return the names of the data centres that have VMs."""
        return tuple(sorted({entry.data_centre for entry in self.entries}))

    def is_leaving(self, router: RouterName) -> bool:
        """Return whether the list marks a VM as leaving."""
        entry = self._entries.get(router)
        return entry is not None and entry.leaving

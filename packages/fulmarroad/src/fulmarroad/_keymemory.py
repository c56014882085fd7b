"""Whether a group member may vote on a key: does it know all that it voted before?

Two ways lead to a double call without this. A restarted member has forgotten the start
that it recorded and lets a repeat through. Or the VM list changes, the key's group with
it, and the new group knows nothing of what a majority of the old one recorded.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import frozen

from fulmarroad._keyrecords import KeyName
from fulmarroad._rendezvous import key_group
from fulmarroad.types import RouterName

MAX_LISTS = 16
"""VM lists remembered since the last one that was wholly known; above it, none is."""

VmSet = frozenset[RouterName]


@frozen
class _Copy:
    basis: VmSet


def majority(size: int) -> int:
    """Return how many of a group are a majority."""
    return size // 2 + 1


class VotingEligibility:
    """Judge for each key whether this member knows what its group recorded.

    `basis` is the last VM list by which this member knows every key of its groups. A
    member is ready for a key if it was in the key's group under the basis and every
    list since, or if all others of the group have copied their records to it; and in
    both cases only if the memories lost on the way are too few for a majority. With
    two of three gone at once nobody is ready, and repeats are refused until the
    retention time has passed.
    """

    def __init__(self, me: RouterName, retention_s: float, now: float) -> None:
        self._me = me
        self._retention_s = retention_s
        self._vms: VmSet = frozenset()
        self._since = now
        self._basis: VmSet | None = None
        self._lists: list[VmSet] = []  # in force after the basis, the last one now
        self._copies: dict[RouterName, _Copy] = {}

    @property
    def vms(self) -> VmSet:
        """Return the VM list in force."""
        return self._vms

    def basis(self, now: float) -> VmSet | None:
        """Return the list by which every key of this member's groups is known."""
        if now - self._since >= self._retention_s and self._vms:
            self._settle()
        return self._basis

    def trust(self) -> None:
        """Take it that no key was ever recorded, as in a fleet's first start."""
        self._settle()

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Take a new VM list over."""
        if frozenset(vms) == self._vms:
            return
        self.basis(now)
        self._vms = frozenset(vms)
        self._since = now
        self._copies.clear()
        self._lists.append(self._vms)
        if len(self._lists) > MAX_LISTS:
            self._basis = None
            self._lists = [self._vms]

    def wanted(self, now: float) -> list[RouterName]:
        """Return the members whose records are still to be copied."""
        if self.basis(now) == self._vms:
            return []
        return sorted(self._vms - {self._me} - set(self._copies))

    def note_copy(
        self, router: RouterName, vms: Collection[RouterName], basis: VmSet
    ) -> None:
        """Note that a member's records have all arrived, asked for under a list."""
        if frozenset(vms) != self._vms:
            return
        self._copies[router] = _Copy(basis)
        if self._is_whole():
            self._settle()

    def ready(self, name: KeyName, now: float) -> bool:
        """Tell whether this member may vote on a key."""
        group = key_group(*name, self._vms)
        if self._me not in group:
            return False
        return self._kept(name, group, now) or self._copied(name, group)

    def _kept(self, name: KeyName, group: tuple[RouterName, ...], now: float) -> bool:
        basis = self.basis(now)
        if basis is None:
            return False
        before = key_group(*name, basis)
        lists = [basis, *self._lists]
        if any(self._me not in key_group(*name, vms) for vms in lists):
            return False
        return _enough_left(before, set(before) - set(group))

    def _copied(self, name: KeyName, group: tuple[RouterName, ...]) -> bool:
        for router in group:
            if router != self._me and not self._copy_counts(router, name, group):
                return False
        return len(group) > 1

    def _copy_counts(
        self, router: RouterName, name: KeyName, group: tuple[RouterName, ...]
    ) -> bool:
        copy = self._copies.get(router)
        if copy is None:
            return False
        before = key_group(*name, copy.basis)
        lost = (set(before) - set(group)) | ({self._me} & set(before))
        return router in before and _enough_left(before, lost)

    def _is_whole(self) -> bool:
        """Tell whether the copies cover every key, whatever its group."""
        if set(self._copies) != self._vms - {self._me}:
            return False
        bases = {copy.basis for copy in self._copies.values()}
        if bases == {self._vms}:
            return True
        basis = self._basis
        if basis is None or not bases <= {basis, self._vms}:
            return False
        # One VM out and one in change each group by one member at most.
        few = len(basis - self._vms) <= 1 and len(self._vms - basis) <= 1
        return few and len(self._lists) == 1

    def _settle(self) -> None:
        self._basis = self._vms
        self._lists.clear()


def _enough_left(before: tuple[RouterName, ...], lost: set[RouterName]) -> bool:
    """Tell whether every majority of a former group has a member that remembers."""
    return len(lost) < majority(len(before))

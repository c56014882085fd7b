"""Eligibility of a group member to vote on a key.

A member may vote only if it knows all its earlier votes. Otherwise a call could run
twice in two cases: a restarted member has lost the start that it recorded and lets a
repeat through; or the VM list changes, the key's group changes with it, and the new
group does not know what a majority of the old one recorded.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import frozen

from fulmarroad._keyrecords import KeyName
from fulmarroad._rendezvous import key_group
from fulmarroad.types import RouterName

MAX_VM_LISTS = 16
"""VM lists remembered after the basis; above this number the basis is discarded."""

VmSet = frozenset[RouterName]


@frozen
class _Copy:
    basis: VmSet


def majority(size: int) -> int:
    """Return the number of members that form a majority of a group."""
    return size // 2 + 1


class VotingEligibility:
    """Decide for each key whether this member knows what its group recorded.

    `basis` is the latest VM list for which this member knows every key of its groups. A
    member may vote on a key if it was in the key's group under the basis and every
    list since, or if it has copied the records of all other members of the group. In
    both cases, the members that lost their records meanwhile must be too few for a
    majority. If two of three lose them at once, no member may vote, and repeats are
    refused until the retention time has passed.
    """

    def __init__(self, me: RouterName, retention_s: float, now: float) -> None:
        self._me = me
        self._retention_s = retention_s
        self._vms: VmSet = frozenset()
        self._current_since = now
        self._basis: VmSet | None = None
        # Lists adopted after the basis; the last one is current.
        self._later_lists: list[VmSet] = []
        self._copies: dict[RouterName, _Copy] = {}

    @property
    def vms(self) -> VmSet:
        """Return the current VM list."""
        return self._vms

    def basis(self, now: float) -> VmSet | None:
        """Return the VM list for which this member knows every key of its groups."""
        if now - self._current_since >= self._retention_s and self._vms:
            self._advance_basis()
        return self._basis

    def assume_no_records(self) -> None:
        """Assume that no key was ever recorded, as when a fleet first starts."""
        self._advance_basis()

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Adopt a new VM list."""
        if frozenset(vms) == self._vms:
            return
        self.basis(now)
        self._vms = frozenset(vms)
        self._current_since = now
        self._copies.clear()
        self._later_lists.append(self._vms)
        if len(self._later_lists) > MAX_VM_LISTS:
            self._basis = None
            self._later_lists = [self._vms]

    def missing_copies(self, now: float) -> list[RouterName]:
        """Return the members whose records are still to be copied."""
        if self.basis(now) == self._vms:
            return []
        return sorted(self._vms - {self._me} - set(self._copies))

    def record_copy(
        self, router: RouterName, vms: Collection[RouterName], basis: VmSet
    ) -> None:
        """Record that all records of a member, requested under `vms`, have arrived."""
        if frozenset(vms) != self._vms:
            return
        self._copies[router] = _Copy(basis)
        if self._copies_cover_all_keys():
            self._advance_basis()

    def ready(self, name: KeyName, now: float) -> bool:
        """Return whether this member may vote on a key."""
        group = key_group(*name, self._vms)
        if self._me not in group:
            return False
        return self._knows_since_basis(name, group, now) or self._knows_by_copies(
            name, group
        )

    def _knows_since_basis(
        self, name: KeyName, group: tuple[RouterName, ...], now: float
    ) -> bool:
        basis = self.basis(now)
        if basis is None:
            return False
        before = key_group(*name, basis)
        lists = [basis, *self._later_lists]
        if any(self._me not in key_group(*name, vms) for vms in lists):
            return False
        return _every_majority_knows(before, set(before) - set(group))

    def _knows_by_copies(self, name: KeyName, group: tuple[RouterName, ...]) -> bool:
        for router in group:
            if router != self._me and not self._is_copy_sufficient(router, name, group):
                return False
        return len(group) > 1

    def _is_copy_sufficient(
        self, router: RouterName, name: KeyName, group: tuple[RouterName, ...]
    ) -> bool:
        copy = self._copies.get(router)
        if copy is None:
            return False
        before = key_group(*name, copy.basis)
        lost = (set(before) - set(group)) | ({self._me} & set(before))
        return router in before and _every_majority_knows(before, lost)

    def _copies_cover_all_keys(self) -> bool:
        """Return whether the copies cover every key, whatever its group."""
        if set(self._copies) != self._vms - {self._me}:
            return False
        bases = {copy.basis for copy in self._copies.values()}
        if bases == {self._vms}:
            return True
        basis = self._basis
        if basis is None or not bases <= {basis, self._vms}:
            return False
        # Removing one VM and adding one changes each group by one member at most.
        single_replacement = len(basis - self._vms) <= 1 and len(self._vms - basis) <= 1
        return single_replacement and len(self._later_lists) == 1

    def _advance_basis(self) -> None:
        self._basis = self._vms
        self._later_lists.clear()


def _every_majority_knows(
    before: tuple[RouterName, ...], lost: set[RouterName]
) -> bool:
    """Return whether every majority of a former group has a member with its records."""
    return len(lost) < majority(len(before))

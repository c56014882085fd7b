"""Parser of the published VM list, TOML with `version` and one `[[vm]]` per VM."""

from __future__ import annotations

import enum
from typing import Any

from attrs import frozen

from fulmarroad import _checks as checks
from fulmarroad._manifest import MAX_PART_BYTES, MAX_VERSION, load_toml
from fulmarroad._vmlist import VmEntry
from fulmarroad.exceptions import ConfigurationError

MAX_VMS = 4096
"""Maximum number of VMs, ten times the expected fleet; a longer list is invalid."""


class VmState(enum.StrEnum):
    """State that the platform publishes for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class VmListing:
    """Hold one version of the published VM list."""

    version: int
    entries: tuple[VmEntry, ...]


@frozen
class _VmRow:
    name: str
    data_centre: str
    host: str
    peer_port: int
    gossip_port: int
    state: VmState = VmState.LIVE


_port = checks.whole(1, checks.MAX_PORT)
_VM_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "data_centre": checks.name,
    "host": checks.ip,
    "peer_port": _port,
    "gossip_port": _port,
    "state": checks.choice(VmState),
}


def parse_vm_list(raw: bytes) -> VmListing:
    """Parse the VM list from TOML.

    Raise `ConfigurationError` with every problem found. Version 0 without a row means
    that nothing has been published.
    """
    if len(raw) > MAX_PART_BYTES:
        raise ConfigurationError(f"The VM list of {len(raw)} bytes is too large.")
    document = load_toml(raw, "The VM list")
    problems: list[str] = []
    version = _read_version(document, problems)
    rows = _read_rows(document.get("vm", []), problems)
    unknown = sorted(set(document) - {"version", "vm"})
    problems += [f"vms: {key}: is not a known field" for key in unknown]
    if problems:
        raise ConfigurationError(
            "The VM list is not valid.",
            problems=tuple(problems),
            hint="The last valid list stays in use; correct the published one.",
        )
    return VmListing(version, tuple(_entry(row) for row in rows))


def _entry(row: _VmRow) -> VmEntry:
    return VmEntry(
        router=row.name,
        data_centre=row.data_centre,
        host=row.host,
        peer_port=row.peer_port,
        gossip_port=row.gossip_port,
        leaving=row.state is VmState.LEAVING,
    )


def _read_version(document: dict[str, Any], problems: list[str]) -> int:
    try:
        return checks.whole(0, MAX_VERSION)(document.get("version"))
    except ValueError as error:
        problems.append(f"vms: version: {error}")
        return 0


def _read_rows(rows: Any, problems: list[str]) -> list[_VmRow]:
    if not isinstance(rows, list):
        problems.append("vms: vm: must be written as [[vm]]")
        return []
    if len(rows) > MAX_VMS:
        problems.append(f"vms: vm: must be at most {MAX_VMS}; are {len(rows)}")
        return []
    parsed_rows: list[_VmRow] = []
    for index, row in enumerate(rows, 1):
        parsed = _read_row(index, row, problems)
        if parsed is not None:
            parsed_rows.append(parsed)
    problems += _duplicates(parsed_rows)
    return parsed_rows


def _read_row(index: int, row: Any, problems: list[str]) -> _VmRow | None:
    if not isinstance(row, dict):
        problems.append(f"vms: vm {index}: must be a table")
        return None
    label = row["name"] if isinstance(row.get("name"), str) else index

    def report(key: str, fault: str) -> None:
        problems.append(f"vms: vm {checks.shown(label)}: {key}: {fault}")

    return checks.read_row(_VmRow, row, _VM_CHECKS, report)


def _duplicates(rows: list[_VmRow]) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    addresses: set[tuple[str, int]] = set()
    for row in rows:
        if row.name in names:
            problems.append(f"vms: vm {row.name!r}: name: is used twice")
        if (row.host, row.gossip_port) in addresses:
            problems.append(f"vms: vm {row.name!r}: gossip_port: is used twice")
        names.add(row.name)
        addresses.add((row.host, row.gossip_port))
    return problems

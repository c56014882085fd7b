"""Scenario files in TOML: the fleet, its callers and the faults to inject."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from attrs import frozen

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_bench._engine_model import EngineProfile

MAX_LOAD_S = 40.0
"""Maximum seconds of load; it keeps a whole run under a minute."""


@frozen
class Fleet:
    """Hold the size of the fleet, which is spread evenly over the data centres."""

    data_centres: int = 3
    routers: int = 9
    engines: int = 5
    plains: int = 3


@frozen
class Group:
    """Describe the traffic of a group of identical workspaces.

    Each of the `callers` sends its next call when the last one ended; `rate` adds
    calls per second at a fixed rate, whatever their outcome. Both are per workspace.
    `spread` is the number of routers that a workspace calls, 0 for all. The share
    `long_share` of the calls asks for `long_tokens`. `hint_low` and `hint_high` bound
    the ratio of a caller's token hint to the real number. Times are in seconds of
    load.
    """

    name: str
    count: int = 1
    weight: float = 1.0
    callers: int = 0
    rate: float = 0.0
    think_s: float = 0.0
    tokens_low: int = 24
    tokens_high: int = 64
    long_share: float = 0.0
    long_tokens: int = 300
    prompt_low: int = 16
    prompt_high: int = 96
    hint_low: float = 1.0
    hint_high: float = 3.0
    spread: int = 0
    stream_share: float = 0.9
    ledger_rate: float = 0.0
    start_s: float = 0.0
    stop_s: float = MAX_LOAD_S


FAULT_KINDS = frozenset(
    {
        "engine",
        "plain",
        "platform",
        "leave",
        "return",
        "cut",
        "heal",
        "pause",
        "resume",
        "replace",
        "table",
    }
)


@frozen
class Fault:
    """Describe one fault and when it is injected.

    `engine`, `plain` and `platform` send `order` to stand-in number `target` (the
    platform has no number). `leave` and `return` remove and restore data centre number
    `target` through a new table version. `cut` partitions the routers: with `sides`
    `centres`, data centre `target` is one side, with `halves` every second router;
    `heal` ends the partition. `pause` and `resume` stop and continue router number
    `target`. `replace` starts a new router, then stops router number `target`
    gracefully. `table` publishes a new table version without changes.
    """

    at_s: float
    kind: str
    target: int = 0
    sides: str = "centres"
    order: Mapping[str, Any] = attrs.field(factory=dict)


@frozen
class Scenario:
    """Hold one validated scenario."""

    name: str
    seconds: float
    warm_s: float
    fleet: Fleet
    engine: EngineProfile
    groups: tuple[Group, ...]
    faults: tuple[Fault, ...] = ()
    pool: Mapping[str, Any] = attrs.field(factory=dict)
    route: Mapping[str, Any] = attrs.field(factory=dict)


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file; raise `ConfigurationError` with every problem found."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"Scenario {path} can't be read: {error}") from None
    return parse_scenario(path.stem, raw)


def parse_scenario(name: str, raw: Mapping[str, Any]) -> Scenario:
    """Validate a scenario; raise `ConfigurationError` with every problem found."""
    checker = _Checker()
    checker.unknown(
        "scenario",
        raw,
        ("seconds", "warm_s", "fleet", "engine", "group", "fault", "pool", "route"),
    )
    seconds = checker.number("seconds", raw.get("seconds", 25.0), 1, MAX_LOAD_S)
    warm_s = checker.number("warm_s", raw.get("warm_s", 12.0), 0, 15)
    fleet = checker.build(Fleet, "fleet", raw.get("fleet", {}))
    engine = checker.build(EngineProfile, "engine", raw.get("engine", {}))
    groups = checker.build_all(Group, "group", raw.get("group", []))
    faults = checker.build_all(Fault, "fault", raw.get("fault", []))
    if not raw.get("group"):
        checker.problems.append("group: at least one is required to send calls")
    checker.check_groups(groups)
    checker.check_faults(faults, seconds)
    if checker.problems or fleet is None or engine is None:
        raise ConfigurationError(
            f"Scenario {name} is not valid.", problems=tuple(checker.problems)
        )
    return Scenario(
        name,
        seconds,
        warm_s,
        fleet,
        engine,
        tuple(groups),
        tuple(sorted(faults, key=lambda fault: fault.at_s)),
        raw.get("pool", {}),
        raw.get("route", {}),
    )


class _Checker:
    """Validate the parts of a scenario and collect their problems."""

    def __init__(self) -> None:
        self.problems: list[str] = []

    def unknown(self, where: str, raw: Mapping[str, Any], known: Any) -> None:
        """Record a problem for each unknown field."""
        for key in raw:
            if key not in known:
                self.problems.append(f"{where}: unknown field {key!r}")

    def number(self, where: str, value: Any, low: float, high: float) -> float:
        """Return a number; record a problem if it is not one or out of range."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.problems.append(f"{where}: {value!r} is not a number")
            return low
        if not low <= value <= high:
            self.problems.append(
                f"{where}: {value} is not in the range {low} to {high}"
            )
        return float(value)

    def build(self, kind: type, where: str, raw: Any) -> Any:
        """Return a table as an instance of `kind`; None if no table or incomplete."""
        if not isinstance(raw, Mapping):
            self.problems.append(f"{where}: is not a table")
            return None
        fields = {item.name: item for item in attrs.fields(kind)}
        self.unknown(where, raw, fields)
        known = {key: value for key, value in raw.items() if key in fields}
        for key, value in known.items():
            self._check_type(f"{where}: {key}", value, str(fields[key].type))
        missing = [
            item.name
            for item in fields.values()
            if item.default is attrs.NOTHING and item.name not in known
        ]
        self.problems += [f"{where}: {name} is missing" for name in missing]
        return None if missing else kind(**known)

    def build_all(self, kind: type, where: str, raw: Any) -> list[Any]:
        """Return the valid rows of an array of tables."""
        if not isinstance(raw, list):
            self.problems.append(f"{where}: is not an array of tables")
            return []
        rows = [self.build(kind, f"{where} {n}", row) for n, row in enumerate(raw, 1)]
        return [row for row in rows if row is not None]

    def check_groups(self, groups: list[Group]) -> None:
        """Record groups whose lower bound exceeds the upper bound."""
        for group in groups:
            if self._is_reversed(group.tokens_low, group.tokens_high):
                self.problems.append(
                    f"group {group.name}: tokens_low is above tokens_high"
                )
            if self._is_reversed(group.prompt_low, group.prompt_high):
                self.problems.append(
                    f"group {group.name}: prompt_low is above prompt_high"
                )

    def check_faults(self, faults: list[Fault], seconds: float) -> None:
        """Record faults of an unknown kind or with a time after the end."""
        for number, fault in enumerate(faults, 1):
            if fault.kind not in FAULT_KINDS:
                self.problems.append(f"fault {number}: unknown kind {fault.kind!r}")
            self.number(f"fault {number}: at_s", fault.at_s, 0, seconds)
            if fault.sides not in ("centres", "halves"):
                self.problems.append(f"fault {number}: unknown sides {fault.sides!r}")

    def _check_type(self, where: str, value: Any, wanted: str) -> None:
        if wanted in ("int", "float"):
            if wanted == "int" and isinstance(value, float):
                self.problems.append(f"{where}: {value!r} is not a whole number")
            else:
                self.number(where, value, 0, 1e9)
        elif wanted == "str" and not isinstance(value, str):
            self.problems.append(f"{where}: {value!r} is not a string")

    @staticmethod
    def _is_reversed(low: Any, high: Any) -> bool:
        numbers = isinstance(low, int | float) and isinstance(high, int | float)
        return numbers and low > high

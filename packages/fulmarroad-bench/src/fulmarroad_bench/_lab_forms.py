"""Describe smaller forms of the two deployments under hard load.

`docs/design/hard-load.md` states the deployments. A form has fewer routers and engines,
and calls and stated capacity in proportion to its engines. The page doesn't state the
number of prompt parts. In `UNEVEN_SERVERS` there are as many for each engine as in
`REMINDERS`, in `BEYOND_CAPACITY` half as many: with these, the worth of a day without
features is close to the page's figures.
"""

from __future__ import annotations

from attrs import evolve, frozen

from fulmarroad_bench._lab_engine import EngineShape
from fulmarroad_bench._lab_router import PickOfOwnCentre
from fulmarroad_bench._lab_router_side import SERVICE
from fulmarroad_bench._lab_simulation import Fleet
from fulmarroad_bench._lab_slowdowns import Slowdowns
from fulmarroad_bench._lab_traffic import CallClass, Surge, Wave, Workload
from fulmarroad_serving import CallKind, ServedRoute, Target

OWN_SIGMA = 0.4
"""Spread of prompt lengths: two thirds are within 0.6 to 1.4 times the mean."""

OUTPUT_SIGMA = 0.6
"""Spread of answer lengths: callers know the length of an answer less well than that of
their prompt."""

HINT_SIGMA = 0.5
"""Spread of the hints' error: a third are off by more than a factor of 1.6."""

WORKSPACES = 30
ROUTERS = 20
REPORT_DELAY_S = 0.1


@frozen
class Form:
    """Hold the traffic and the fleet of a form."""

    name: str
    workload: Workload
    fleet: Fleet


def _classes(scale: float, rows: tuple[CallClass, ...]) -> tuple[CallClass, ...]:
    return tuple(
        evolve(
            row,
            per_s=scale * row.per_s,
            own_sigma=OWN_SIGMA,
            output_sigma=OUTPUT_SIGMA,
            hint_sigma=HINT_SIGMA,
        )
        for row in rows
    )


def _routes(rows: tuple[CallClass, ...]) -> tuple[ServedRoute, ...]:
    return tuple(
        ServedRoute(
            row.name,
            "models.example",
            f"/{row.name}/",
            CallKind.STREAM,
            (Target(SERVICE),),
            row.deadline_s,
            row.objective_s,
        )
        for row in rows
    )


_SCALE_A = 22 / 45
_CLASSES_A = _classes(
    _SCALE_A,
    (
        CallClass("draft", 126.0, 13_300, 3_720, 120, 1.0, 3.0, 0.89, 360, 10.0),
        CallClass("tag", 89.0, 6_300, 2_890, 50, 0.8, 2.6, 0.77, 180, 6.0),
        CallClass("answer", 139.0, 350, 1_110, 170, 0.6, 0.41, 0.12, 300, 12.0),
    ),
)

BEYOND_CAPACITY = Form(
    "beyond_capacity",
    Workload(
        _CLASSES_A,
        WORKSPACES,
        surges=(Surge(8.0, 3.0, 2.2), Surge(14.0, 4.0, 10.0, 5), Surge(20.0, 4.0, 1.6)),
        centres=3,
    ),
    Fleet(
        ROUTERS,
        22,
        EngineShape(
            slots=64,
            memory_tokens=419_155,
            step_s=0.00463,
            answer_s=0.000153,
            read_per_s=37_900.0,
            chunk_tokens=1_024,
        ),
        _SCALE_A * 1_000_000.0,
        _routes(_CLASSES_A),
        ("c0", "c1", "c2"),
        pick_router=PickOfOwnCentre(3),
        report_delay_s=REPORT_DELAY_S,
        owners=True,
    ),
)
"""Surges of calls that ask for more reading of prompts than the engines can do."""


_SCALE_B = 24 / 70
_CLASSES_B = _classes(
    _SCALE_B,
    (
        CallClass("draft", 227.0, 13_300, 3_720, 120, 0.8, 2.9, 0.86, 873, 10.0),
        CallClass("tag", 165.0, 6_300, 2_890, 52, 0.6, 2.4, 0.72, 432, 6.0),
        CallClass("answer", 193.0, 350, 1_110, 172, 0.5, 0.49, 0.15, 720, 12.0),
    ),
)

UNEVEN_SERVERS = Form(
    "uneven_servers",
    Workload(_CLASSES_B, WORKSPACES, centres=4, wave=Wave(17.0, 0.55)),
    Fleet(
        ROUTERS,
        24,
        EngineShape(
            slots=32,
            memory_tokens=579_174,
            step_s=0.00561,
            answer_s=0.00015,
            read_per_s=54_600.0,
            chunk_tokens=2_048,
        ),
        _SCALE_B * 2_050_000.0,
        _routes(_CLASSES_B),
        ("c0", "c1", "c2", "c3"),
        speeds=(0.7, 0.7, 1.7),
        slowdowns=Slowdowns(0.15, 2.5, 0.6),
        pick_router=PickOfOwnCentre(4),
        report_delay_s=REPORT_DELAY_S,
        owners=True,
    ),
)
"""Engines of unequal and changing speeds; demand that moves between data centres."""

FORMS = {row.name: row for row in (BEYOND_CAPACITY, UNEVEN_SERVERS)}

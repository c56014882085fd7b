"""The policy lab: its engine, its traffic, and what it tells of placements."""

import json
import random
from collections import Counter

import pytest
from attrs import evolve

from fulmarroad_bench import lab
from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall, SimulatedEngine
from fulmarroad_bench._lab_traffic import (
    REMINDERS,
    CallClass,
    Surge,
    Workload,
    arrivals,
)

SHORT = evolve(
    REMINDERS,
    # So few parts that they are all read before the surge.
    classes=tuple(evolve(row, parts=12) for row in REMINDERS.classes),
    seconds=8.0,
    surges=(Surge(2.0, 4.0, 5.0, 2),),
)
SHAPE = EngineShape(slots=2, queue=1, memory_tokens=30_000, chunk_tokens=1_000)


def call(number=1, part="p", shared=9_000, own=1_000, output=3):
    return SimulatedCall(number, "letter", "w", part, shared, own, output, 0.0)


def run_out(engine, known):
    results = []
    while engine.busy:
        results.append(engine.step(known))
    return results


class TestEngine:
    def test_a_part_is_read_once(self):
        engine, known = SimulatedEngine(SHAPE), set()
        engine.admit(call(1))
        first = run_out(engine, known)
        engine.admit(call(2))
        second = run_out(engine, known)
        assert engine.read_tokens == 11_000
        assert engine.reread_tokens == 0
        begun = [
            next(n for n, row in enumerate(rows) if row.begun)
            for rows in (first, second)
        ]
        assert begun == [9, 0]

    def test_another_engine_reads_it_again(self):
        known = set()
        for number in (1, 2):
            engine = SimulatedEngine(SHAPE)
            engine.admit(call(number))
            run_out(engine, known)
        assert engine.reread_tokens == 9_000

    def test_parts_go_when_memory_is_short(self):
        engine, known = SimulatedEngine(SHAPE), set()
        for number in range(4):
            engine.admit(call(number, part=f"p{number}"))
            run_out(engine, known)
        assert engine.memory_used <= SHAPE.memory_tokens
        engine.admit(call(9, part="p0"))
        run_out(engine, known)
        assert engine.reread_tokens == 9_000

    def test_a_full_engine_turns_calls_away(self):
        engine = SimulatedEngine(SHAPE)
        assert [engine.admit(call(number)) for number in range(4)] == [
            True,
            True,
            True,
            False,
        ]

    def test_a_long_prompt_delays_the_answers_beside_it(self):
        engine, known = SimulatedEngine(SHAPE), set()
        engine.admit(call(1, part="", own=1, output=50))
        engine.step(known)
        alone = engine.step(known).seconds
        engine.admit(call(2, shared=0, part="", own=5_000))
        assert engine.step(known).seconds > 2 * alone


class TestTraffic:
    def test_the_same_seed_gives_the_same_calls(self):
        rows = [[(row.arrived, row.part) for row in arrivals(SHORT, 3)] for _ in "ab"]
        assert rows[0] == rows[1]
        assert rows[0] != [(row.arrived, row.part) for row in arrivals(SHORT, 4)]

    def test_a_surge_multiplies_one_workspaces_calls(self):
        rows = [row for row in arrivals(SHORT, 1) if row.workspace == "w02"]
        inside = [row for row in rows if 2.0 <= row.arrived < 6.0]
        outside = len(rows) - len(inside)
        assert len(inside) > 3 * outside


@pytest.fixture(scope="module")
def days():
    names = ("cached", "least_loaded", "prefix_only")
    return {name: lab.simulate(SHORT, name, 1) for name in names}


class TestPlacements:
    def test_every_call_ends_once(self, days):
        calls = len(list(arrivals(SHORT, 1)))
        for day in days.values():
            numbers = [row.call.number for row in day.outcomes]
            assert len(numbers) == len(set(numbers)) == calls

    def test_a_day_repeats(self, days):
        again = lab.simulate(SHORT, "cached", 1)
        assert lab.summary(SHORT, again) == lab.summary(SHORT, days["cached"])

    def test_counting_on_cached_parts_pays(self, days):
        """Prompts share long parts. Spread by load alone, every engine reads every part
        again, and callers wait for work that was done already.
        """
        cached = lab.summary(SHORT, days["cached"])
        spread = lab.summary(SHORT, days["least_loaded"])
        assert cached["worth"] > spread["worth"] + 0.1
        assert cached["read_again_part"] < spread["read_again_part"] / 2

    def test_a_small_workspace_is_not_crowded_out(self, days):
        """One workspace asks five times its usual. The others must not pay for it."""
        rows = lab.summary(SHORT, days["cached"])["by_workspace"]
        small = [rows[f"w{number:02d}"] for number in range(8, 16)]
        assert sum(small) / len(small) > rows["w02"]


OVERLOAD = evolve(
    REMINDERS, seconds=12.0, surges=(Surge(2.0, 4.0, 5.0, 2), Surge(6.0, 6.0, 1.8))
)
STEADY = evolve(
    REMINDERS,
    classes=tuple(evolve(row, per_s=0.6 * row.per_s) for row in REMINDERS.classes),
    seconds=10.0,
    surges=(),
)
HOT = "dossier-letter-0"


def with_hot_part(workload, seed):
    """Let a third of the letters ask for one part, as on the day of a new template."""
    source = random.Random(seed)
    for row in arrivals(workload, seed):
        if row.kind == "dossier-letter" and source.random() < 0.35:
            row.part = HOT
        yield row


class TestEngineTime:
    def test_parts_are_not_read_again_in_overload(self):
        """Twice as much is asked as engines read. Each of them that seems to have a
        moment reads a part that another one has, and calls that would have been served
        where their part is are turned away: more than a tenth of all reading was that.
        """
        day = lab.summary(OVERLOAD, lab.simulate(OVERLOAD, "cached", 1))
        assert day["read_again_part"] < 0.05

    def test_a_part_that_many_ask_for_is_read_by_more_engines(self, monkeypatch):
        """A third of all letters ask for one part, more than one engine answers. Left
        where it is, its callers would be turned away beside engines with room.
        """
        monkeypatch.setattr(lab, "arrivals", with_hot_part)
        day = lab.simulate(STEADY, "cached", 1, routers=10, engines=10)
        letters = [row for row in day.outcomes if row.call.kind == "dossier-letter"]
        ended = {
            hot: [
                row.ended == "on time"
                for row in letters
                if (row.call.part == HOT) is hot
            ]
            for hot in (True, False)
        }
        on_time = {hot: sum(rows) / len(rows) for hot, rows in ended.items()}
        assert on_time[True] > 0.9 * on_time[False]


EQUAL = Workload(
    (CallClass("letter", 500.0, 6_000, 6_000, 100, 0.5, 3.0, 0.3, 300),),
    workspaces=4,
    skew=0.0,
    seconds=7.0,
)
"""Four workspaces that ask alike, together three times what eight engines give."""


UNEQUAL = evolve(
    EQUAL,
    classes=tuple(evolve(row, per_s=450.0) for row in EQUAL.classes),
    workspaces=6,
    skew=1.3,
    seconds=9.0,
)
"""Six workspaces, the first of which asks as much as the next three."""


def one_at_one_router(call, routers):
    return 0 if call.workspace == "w00" else lab.pick_round_robin(call, routers)


class TestShares:
    def test_calls_that_all_come_to_one_router_get_their_share(self):
        """The balancer hands one workspace's calls to a single router, those of others
        to all. Each look of a held call is a chance to find a place, and sixteen
        routers look more often than one: the workspace would get a part of what others
        get, though it asks for as much.
        """
        day = lab.simulate(
            EQUAL, "cached", 1, routers=16, engines=8, pick_router=one_at_one_router
        )
        begun = Counter(
            row.call.workspace
            for row in day.outcomes
            if row.ended != "refused" and row.call.arrived > 2.0
        )
        assert sum(row.ended == "refused" for row in day.outcomes) > 1_000
        assert begun["w00"] >= 0.8 * max(begun.values())

    def test_a_workspace_at_one_small_router_gets_its_share(self):
        """The balancer hands one workspace's calls to a router with a fifth of the
        others' processor. Most of them are beyond its share; turned away one by one
        after a search for a place, they leave it no time for those that are not.
        """
        cores = [0.2] + [1.0] * 7
        day = lab.simulate(
            EQUAL,
            "cached",
            2,
            routers=len(cores),
            engines=8,
            pick_router=one_at_one_router,
            report_delay_s=0.2,
            cores=cores,
        )
        calm = [row for row in day.outcomes if 2.0 < row.call.arrived < 6.0]
        begun = Counter(
            row.call.workspace
            for row in calm
            if row.ended != "refused" and row.at < EQUAL.seconds
        )
        assert begun["w00"] >= 0.5 * max(begun.values())

    def test_the_largest_workspace_crowds_nobody_out(self):
        """Routers hear of each other's calls a fifth of a second late, and twice as
        much is asked as engines give. Workspaces that ask for a third of what the
        largest one does get less than half of it.
        """
        day = lab.simulate(
            UNEQUAL, "cached", 2, routers=16, engines=10, report_delay_s=0.2
        )
        calm = [row for row in day.outcomes if row.call.arrived > 3.0]
        asked = Counter(row.call.workspace for row in calm)
        got = Counter(row.call.workspace for row in calm if row.ended != "refused")
        most = max(got.values())
        parts = [got[name] / min(asked[name], most) for name in asked]
        assert min(parts) >= 0.5


class TestReport:
    def test_the_report_holds_every_policy_and_its_plots(
        self, tmp_path, monkeypatch, capsys
    ):
        monkeypatch.setattr(lab, "REMINDERS", evolve(SHORT, seconds=2.0))
        lab.main(policies="cached,prefix_only", directory=str(tmp_path))
        lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        page = (tmp_path / "report.html").read_text()
        assert [line.get("policy") for line in lines[:2]] == ["cached", "prefix_only"]
        assert page.count("data:image/png;base64,") == 2
        assert "prefix_only" in page

"""Tests of prompt parts that crash the engines which begin to answer them.

Each fleet is judged by what its engines and callers see.
"""

import anyio
import pytest
from crash_fleet import MAX_LATE, CrashFleet

from fulmarroad.testing import run_virtual

CALM_S = 6.0
TROUBLE_S = 13.0
SOUND_PER_S = 40.0
CRASHING_PER_S = 4.0
MIN_BEGUN_FRACTION = 0.9
"""Sound requests begin at least this often in the trouble, compared with the calm."""


def sound_parts(random):
    """Return the parts of a sound request: popular, less popular and rare ones."""
    return (
        f"first-{random.randrange(2)}",
        f"middle-{min(19, int(random.expovariate(0.25)))}",
        f"last-{random.randrange(60)}",
    )


def with_part(place, part="bad"):
    """Return a source of requests with a part in one place, else like sound ones."""

    def parts(random):
        names = list(sound_parts(random))
        names[place] = part
        return tuple(names)

    return parts


def behind_two(random):
    return ("first-0", "middle-0", "bad", f"last-{random.randrange(60)}")


def beside_another(random):
    """Return parts of which one comes only with the crashing one, until now."""
    first, _, last = sound_parts(random)
    return (first, "companion", "bad", last)


def companion_parts(random):
    """Return the parts of sound requests, of which some have the companion."""
    first, middle, last = sound_parts(random)
    return (first, "companion" if random.random() < 0.05 else middle, last)


async def play(fleet, parts_of, sound=sound_parts, per_s=CRASHING_PER_S):
    """Let sound requests come alone for a while, then beside crashing ones."""
    await fleet.prepare()
    async with anyio.create_task_group() as group:
        group.start_soon(fleet.send_sound, SOUND_PER_S, CALM_S + TROUBLE_S + 2.0, sound)
        await anyio.sleep(CALM_S)
        fleet.crashing = frozenset({"bad"})
        group.start_soon(fleet.send_crashing, per_s, TROUBLE_S, parts_of)
    await anyio.sleep(2.0)


def check(fleet, part="bad", has=lambda row: True):
    """Check the bound on late requests and that sound ones begin as before."""
    assert len(fleet.late(part)) <= MAX_LATE
    calm = fleet.begun_fraction(0.0, CALM_S, has)
    since = fleet.judged_from(part)
    assert since < CALM_S + TROUBLE_S
    trouble = fleet.begun_fraction(since, CALM_S + TROUBLE_S, has)
    assert trouble >= MIN_BEGUN_FRACTION * calm


class TestOneCrashingPart:
    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_requests_with_the_part_stop_reaching_engines(self, place):
        """Guard against a part that crashes engines one after the other.

        No two requests with it are alike, so none of them has crashed an engine before.
        """

        async def test(fleet):
            await play(fleet, with_part(place))
            check(fleet)

        run_virtual(CrashFleet(seed=1).run, test)

    def test_sound_requests_with_the_same_parts_before_it_begin(self):
        """Guard against barring parts that the requests share with sound ones."""

        async def test(fleet):
            await play(fleet, behind_two)
            check(fleet)
            check(fleet, has=lambda row: row.parts[0] == "first-0")

        run_virtual(CrashFleet(seed=2).run, test)

    def test_a_part_that_came_only_with_it_is_served_without_it(self):
        """Guard against a sound part that stays barred, as it came with a bad one."""

        async def test(fleet):
            await play(fleet, beside_another, companion_parts)
            check(fleet)
            check(fleet, has=lambda row: "companion" in row.parts)

        run_virtual(CrashFleet(seed=3).run, test)

    def test_two_parts_that_crash_engines_at_once(self):
        """Guard against evidence that fits one part only."""

        async def test(fleet):
            await fleet.prepare()
            fleet.crashing = frozenset({"bad-1", "bad-2"})
            async with anyio.create_task_group() as group:
                group.start_soon(
                    fleet.send_sound, SOUND_PER_S, CALM_S + TROUBLE_S, sound_parts
                )
                await anyio.sleep(CALM_S)
                for place, part in enumerate(sorted(fleet.crashing)):
                    group.start_soon(
                        fleet.send_crashing, 2.0, TROUBLE_S, with_part(place + 1, part)
                    )
            for part in fleet.crashing:
                check(fleet, part)

        run_virtual(CrashFleet(seed=4).run, test)

    def test_a_part_that_turns_bad_after_good_runs(self):
        """Guard against good runs of a part that excuse its crashes for ever."""

        async def test(fleet):
            def parts(random):
                names = list(sound_parts(random))
                if random.random() < 0.1:
                    names[1] = "bad"
                return tuple(names)

            await play(fleet, with_part(1), parts)
            assert len(fleet.late("bad")) <= MAX_LATE

        run_virtual(CrashFleet(seed=5).run, test)

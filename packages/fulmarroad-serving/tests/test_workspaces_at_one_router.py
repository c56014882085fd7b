"""Workspaces whose callers all use one router, beside others whose use all of them."""

import functools

import anyio
import pytest
from share_fleet import MAX_COLD_ARRIVALS_PER_S, ShareFleet, Workspace, describe

from fulmarroad.testing import run_virtual

MIN_ANSWERED_FRACTION = 0.95
"""Aim for calls that nothing happened to, while engines have places."""

MAX_GIVEN_BACK_FRACTION = 0.05
"""Aim for granted places that their router may not use."""

EVEN = (Workspace("one", 90.0, 1), Workspace("all", 90.0, 12))
"""Two workspaces that ask alike and far less than sixteen engines can do."""

COLD = (Workspace("one", 60.0, 1), Workspace("all", 60.0, 12))
"""Two workspaces that ask alike, together less than eight cold engines may get."""


def play(fleet, seconds, engines, trouble):
    run_virtual(functools.partial(fleet.run_for, seconds, engines, trouble))
    return fleet


async def no_trouble(fleet):
    pass


async def reset_a_tenth(fleet):
    await anyio.sleep(2.0)
    for engine in fleet.engines.values():
        engine.reset_fraction = 0.1


def restart_all(entry_after_s):
    async def restart(fleet):
        await anyio.sleep(2.0)
        for name in list(fleet.engines):
            fleet.start_again_cold(name, entry_after_s, warmup_s=6.0)

    return restart


@pytest.fixture(scope="module")
def fleet():
    """Return the fleet after a run in which engines reset a tenth of their calls."""
    return play(ShareFleet(EVEN, seed=1), 7.0, 16, reset_a_tenth)


class TestResets:
    def test_one_reset_does_not_close_a_server_to_a_router(self, fleet):
        """Guard against a router that refuses its only workspace while engines idle.

        Engines reset a tenth of their calls and go on with the others.
        """
        for row in EVEN:
            answered = fleet.answered_fraction(row.name, 2.5)
            assert answered >= MIN_ANSWERED_FRACTION, describe(fleet)

    def test_owners_grant_places_that_their_router_may_use(self, fleet):
        """Guard against grants that are given back while their place stays blocked."""
        for row in EVEN:
            given_back = fleet.given_back_fraction(row.name)
            assert given_back <= MAX_GIVEN_BACK_FRACTION, describe(fleet)


class TestColdServers:
    @pytest.mark.parametrize("entry_after_s", [0.0, 1.0])
    def test_a_workspace_at_one_router_gets_its_share_of_cold_servers(
        self, entry_after_s
    ):
        """Guard against calls to cold servers that are dealt out by router.

        All engines start again cold. Each router may send them the same small number of
        calls, however many workspaces have all their callers there.
        """
        fleet = play(ShareFleet(COLD, seed=1), 8.0, 8, restart_all(entry_after_s))
        assert fleet.shortfall("one", 2, 8) == 0.0, describe(fleet)
        worst = max(row.worst_arrivals_per_s for row in fleet.engines.values())
        assert worst <= MAX_COLD_ARRIVALS_PER_S


class TestConnections:
    def test_a_router_may_open_the_connections_that_its_places_need(self):
        """Guard against connections that are dealt out by router.

        Engines accept 40, of which five are needed at a time. Each router may open two.
        """
        fleet = play(ShareFleet(EVEN, seed=1, max_connections=40), 6.0, 16, no_trouble)
        for row in EVEN:
            answered = fleet.answered_fraction(row.name, 0.0)
            assert answered >= MIN_ANSWERED_FRACTION, describe(fleet)
        assert fleet.most_connections <= 40

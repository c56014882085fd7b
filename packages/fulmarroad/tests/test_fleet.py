"""Routers act together through failures: nothing lost, doubled or unfair."""

import anyio
import pytest

CENTRES = {"north": ("n1", "n2", "n3"), "south": ("s1", "s2", "s3")}
SERVERS = [("north-a", "north"), ("south-a", "south")]


class TestServing:
    def test_requests_of_every_router_complete(self, run_fleet):
        async def scenario(fleet):
            async with anyio.create_task_group() as group:
                for router in list(fleet.routers):
                    group.start_soon(fleet.call, router, "coop")

        fleet = run_fleet(scenario, CENTRES, SERVERS)
        assert list(fleet.outcomes.values()) == ["completed"] * 6

    def test_no_server_gets_more_than_its_units(self, run_fleet):
        async def scenario(fleet):
            async with anyio.create_task_group() as group:
                for router in list(fleet.routers) * 10:
                    group.start_soon(fleet.call, router, "coop")

        fleet = run_fleet(scenario, CENTRES, SERVERS)
        assert set(fleet.outcomes.values()) == {"completed"}
        assert all(0 < s.most_running <= 4 for s in fleet.servers.values())


class TestLostScheduler:
    @pytest.mark.parametrize("victims", [1, 2])
    def test_requests_of_the_other_routers_complete(self, run_fleet, victims):
        # The VMs that schedule a shard die, one or two of three, while requests wait
        # and run. Callers of the routers that live must all get their answers.
        async def scenario(fleet):
            async with anyio.create_task_group() as group:
                await anyio.sleep(0.2)
                schedulers = fleet.routers["n1"].coordinator.follower.schedulers
                first = next(r for s, r in schedulers.items() if "north" in str(s))
                doomed = [first]
                doomed += [n for n in CENTRES["north"] if n != first][: victims - 1]
                keeper = next(n for n in CENTRES["north"] if n not in doomed)
                for _ in range(30):
                    group.start_soon(fleet.call, keeper, "coop")
                await anyio.sleep(0.3)
                for name in doomed:
                    fleet.kill(name)
                await anyio.sleep(1.0)
                fleet.tell_members()

        fleet = run_fleet(scenario, CENTRES, SERVERS)
        assert list(fleet.outcomes.values()) == ["completed"] * 30
        assert all(s.most_running <= 4 for s in fleet.servers.values())


class TestFairness:
    def test_flood_does_not_crowd_out_a_small_workspace(self, run_fleet):
        # One workspace floods all routers; a small one comes through a single router
        # of the other data centre. Both are backlogged, so both get equal service.
        async def scenario(fleet):
            async with anyio.create_task_group() as group:
                for router in list(fleet.routers) * 8:
                    group.start_soon(fleet.keep_calling, router, "flood")
                for _ in range(12):
                    group.start_soon(fleet.keep_calling, "s1", "small")
                await anyio.sleep(5.0)
                before = fleet.service("small"), fleet.service("flood")
                await anyio.sleep(20.0)
                fleet.gain = (
                    fleet.service("small") - before[0],
                    fleet.service("flood") - before[1],
                )
                group.cancel_scope.cancel()

        fleet = run_fleet(scenario, CENTRES, SERVERS)
        small, flood = fleet.gain
        assert small == pytest.approx(flood, rel=0.1)
        assert small + flood >= 0.9 * 20.0 * 8 * 100.0


class TestDataCentreLeaves:
    def test_work_moves_and_returns(self, run_fleet):
        # Operators take a data centre out and bring it back. Its routers stay and
        # hold callers, whose requests must go elsewhere at once and not be lost.
        async def scenario(fleet):
            async with anyio.create_task_group() as group:
                for router in list(fleet.routers) * 2:
                    group.start_soon(fleet.keep_calling, router, "coop")
                await anyio.sleep(3.0)
                fleet.publish(out=["south"])
                fleet.left = fleet.now
                await anyio.sleep(10.0)
                fleet.publish()
                fleet.back = fleet.now
                await anyio.sleep(60.0)
                group.cancel_scope.cancel()

        fleet = run_fleet(scenario, CENTRES, SERVERS)
        starts = [at for at, _ in fleet.servers["south-a"].starts]
        assert not [at for at in starts if fleet.left + 0.1 < at < fleet.back]
        assert [at for at in starts if at > fleet.back]
        bad = {o for o in fleet.outcomes.values() if o not in ("completed", "lost")}
        assert bad == set()

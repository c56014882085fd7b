"""Tests of calls that the owner of a server places: grants, losses and fallback."""

import anyio
from attrs import evolve
from owner_bed import CALL, LOOKUP, OwnerBed

from fulmarroad.types import RefusalReason
from fulmarroad_serving import Placement, Refusal, SendOutcome
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._granting import UNCONFIRMED_GRANT_S
from fulmarroad_serving._owner_client import SILENCE_S
from fulmarroad_serving._owner_messages import PlacementRequest
from fulmarroad_serving._restarts import Contact


def run(test):
    anyio.run(test)


class TestGrants:
    def test_the_owner_counts_a_granted_call_until_it_ends(self):
        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            assert isinstance(placement, Placement)
            ticket = bed.a.send(CALL, placement, bed.now)
            assert bed.running() == 1
            assert bed.a.own_load() == {}
            bed.a.begin(ticket, bed.now)
            bed.flush()
            server = placement.choice.server
            assert bed.b.load(server).waiting_tokens == 0
            assert bed.running() == 1
            bed.a.end(ticket, None, bed.now)
            bed.flush()
            assert bed.running() == 0

        run(test)

    def test_the_owner_learns_of_failures(self):
        """A server fails calls of many routers. Its owner sends none of them itself and
        would go on granting places there.
        """

        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            ticket = bed.a.send(CALL, placement, bed.now)
            bed.a.end(ticket, SendOutcome.FAILED, bed.now)
            bed.flush()
            assert bed.b.health(placement.choice.server).rate > 0

        run(test)

    def test_a_place_that_is_not_used_is_returned(self):
        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            bed.client.abandon(placement.grant)
            bed.flush()
            assert bed.running() == 0

        run(test)

    def test_a_place_that_is_not_used_is_no_failure_of_its_server(self):
        """Guard against servers that get no calls because callers left, or because the
        owner's reply came too late: their owner counted each such place as a failure.
        """

        async def test():
            bed = OwnerBed()
            for _ in range(8):
                placement = await bed.place()
                bed.client.abandon(placement.grant)
                bed.flush()
            servers = [f"drafting-{number}" for number in range(3)]
            assert [bed.b.health(server).rate for server in servers] == [0.0] * 3

        run(test)

    def test_the_owner_learns_that_a_server_cannot_be_reached(self):
        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            bed.client.abandon(placement.grant, SendOutcome.NOT_SENT)
            bed.flush()
            assert bed.b.health(placement.choice.server).rate > 0

        run(test)

    def test_a_used_place_is_not_returned(self):
        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            bed.a.send(CALL, placement, bed.now)
            bed.client.abandon(placement.grant)
            bed.flush()
            assert bed.running() == 1

        run(test)

    def test_a_leaving_server_is_not_used(self):
        """A server drains, and its owner does not know yet. The call would reach it
        after its leaving was acknowledged, and be cut off.
        """

        async def test():
            bed = OwnerBed()
            for row in bed.a.registry.rows():
                bed.a.registry.put(evolve(row.instance, draining=True), bed.now)
            assert await bed.place() is None
            bed.flush()
            assert bed.running() == 0

        run(test)

    def test_a_full_service_is_refused_by_its_owner(self):
        async def test():
            bed = OwnerBed()
            placed = [await bed.place(LOOKUP, may_wait=False) for _ in range(100)]
            refused = [row for row in placed if isinstance(row, Refusal)]
            assert 20 < len(refused) < 88
            assert all(row.reason is RefusalReason.WAIT_TOO_LONG for row in refused)
            assert all(row.retry_after_s > 0 for row in refused)

        run(test)

    def test_a_call_waits_at_the_owner_for_a_place(self):
        """A call finds all engines busy for a tenth of a second. Refused at once, its
        caller would return too late.
        """

        async def test():
            bed = OwnerBed()
            tickets = []
            while True:
                placement = await bed.place(may_wait=False)
                if isinstance(placement, Refusal):
                    break
                tickets.append(bed.a.send(CALL, placement, bed.now))
            results = []

            async def ask():
                results.append(await bed.place())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.01)
                assert results == []
                for ticket in tickets:
                    bed.a.begin(ticket, bed.now)
                bed.flush()
                bed.now = bed.granter.next_due
                bed.answer(bed.granter.decide_held(bed.now))
            assert isinstance(results[0], Placement)

        run(test)

    def test_a_call_does_not_wait_at_the_owner_past_its_deadline(self):
        """A caller has less time left than its call may be held. It would be told after
        it has gone, and the owner would count as silent.
        """

        async def test():
            bed = OwnerBed()
            while isinstance(await bed.place(may_wait=False), Placement):
                pass
            started = anyio.current_time()
            answer = await bed.client.request(
                "b", CALL, (), may_wait=True, remaining_s=0.05
            )
            assert answer is None
            assert anyio.current_time() - started < 0.3
            assert bed.client.owner_for(CALL) == "b"

        run(test)


class TestPermissions:
    """Tests of what the owner may decide for the router that sends the call."""

    def make_cold(self, bed, warm=()):
        for dispatcher in (bed.a, bed.b):
            for row in dispatcher.registry.usable("drafting"):
                if row.instance.id not in warm:
                    dispatcher.registry.mark_cold(row.instance.id, 9.0, bed.now)

    def test_cold_servers_get_what_their_owner_deals_out(self):
        """Servers restart cold. With one call a second for each router, one that has
        most calls could use next to nothing of them, and too many calls end them.
        """

        async def test():
            bed = OwnerBed(warmup_rate=19.0)
            self.make_cold(bed)
            bound = bed.warmup_rate * 1.5 + 5.0
            sent = []
            for number in range(120):
                placement = await bed.place(evolve(CALL, part=f"p{number}"))
                if not isinstance(placement, Placement):
                    continue
                bed.a.send(CALL, placement, bed.now)
                sent.append(placement.choice.server)
            for server in set(sent):
                assert 10 <= sent.count(server) <= bound / 2
            assert len(set(sent)) == 3

        run(test)

    def test_an_owner_out_of_sight_of_most_routers_deals_out_no_cold_calls(self):
        """Guard against servers that end as each part of a split fleet has an owner for
        them that deals out what they bear."""

        async def test():
            bed = OwnerBed(warmup_rate=19.0)
            bed.granter._owners.set_routers({"b": "fes"}, {"fes": 2})
            self.make_cold(bed)
            sent = []
            for number in range(40):
                placement = await bed.place(evolve(CALL, part=f"p{number}"))
                if isinstance(placement, Placement):
                    bed.a.send(CALL, placement, bed.now)
                    sent.append(placement.choice.server)
            assert len(sent) == len(set(sent)) == 3

        run(test)

    def test_a_server_that_only_the_sending_router_holds_for_cold_is_left_out(self):
        """Guard against grants that are given back: the owner doesn't know that the
        server may have restarted."""

        async def test():
            bed = OwnerBed(warmup_rate=19.0)
            first = (await bed.place()).choice.server
            service = bed.a.settings.service("drafting")
            bed.a.registry.suspect(first, Contact(bed.now, bed.now), bed.now)
            while bed.a.servers.accepts(bed.a.registry.get(first), service, bed.now):
                bed.a.servers.note_cold_call(first, service, ColdBudget.SHARE, bed.now)
            placed = [await bed.place() for _ in range(10)]
            assert first not in [row.choice.server for row in placed]

        run(test)

    def test_a_server_without_a_connection_for_the_sending_router_is_left_out(self):
        """Guard against grants that are given back, as the server's connections are in
        use; a server with few calls lets the router open one more."""

        async def test():
            bed = OwnerBed()
            bed.client.is_full = lambda service, server: server != "drafting-0"
            placed = [await bed.place(may_wait=False) for _ in range(9)]
            others = [row for row in placed if row.choice.server != "drafting-0"]
            assert others
            assert all(row.may_open for row in others)
            for server in ("drafting-1", "drafting-2"):
                for _ in range(20):  # a quarter of the 64 connections and more
                    bed.b.load(server).send(server, 0, bed.now)
            placed = [await bed.place(may_wait=False) for _ in range(9)]
            servers = {r.choice.server for r in placed if isinstance(r, Placement)}
            assert servers <= {"drafting-0"}

        run(test)

    def test_a_server_that_the_sending_router_cannot_reach_is_avoided(self):
        async def test():
            bed = OwnerBed()
            first = (await bed.place()).choice.server
            bed.a.health(first).unreachable(bed.now)
            second = await bed.place()
            assert second.choice.server != first

        run(test)

    def test_without_a_server_at_the_owner_the_router_decides(self):
        """All servers of one owner are out of reach of a router. Refused by that owner,
        its call would not be tried at any other server.
        """

        async def test():
            bed = OwnerBed()
            for row in bed.a.registry.usable("drafting"):
                bed.a.health(row.instance.id).unreachable(bed.now)
            assert await bed.place() is None

        run(test)


class TestLosses:
    def test_a_silent_owner_is_left_out(self):
        """An owner freezes. Until the membership notices, each call for its servers
        would wait for it in vain.
        """

        async def test():
            bed = OwnerBed(cut=True)
            assert bed.client.owner_for(CALL) == "b"
            assert await bed.place() is None
            assert bed.client.owner_for(CALL) is None
            bed.now += SILENCE_S
            assert bed.client.owner_for(CALL) == "b"

        run(test)

    def test_a_lost_reply_leaves_no_call_behind(self):
        """The reply with a place is lost, and the call is placed without it. Counted
        for ever, such places would fill the server in its owner's view.
        """

        async def test():
            bed = OwnerBed()
            first = await bed.place()
            bed.a.send(CALL, first, bed.now)
            bed.replies_lost = True
            assert await bed.place() is None
            assert bed.running() == 2
            bed.now += UNCONFIRMED_GRANT_S
            bed.list_held()
            assert bed.running() == 1

        run(test)

    def test_a_late_reply_is_returned(self):
        async def test():
            bed = OwnerBed()
            bed.cut = True
            assert await bed.place() is None
            bed.cut = False
            request = PlacementRequest("a", 5, 1, CALL)
            bed.answer([bed.granter.receive_request(request, bed.now)])
            assert bed.running() == 1
            bed.flush()
            assert bed.running() == 0

        run(test)

    def test_calls_of_a_lost_owner_are_counted_here(self):
        """An owner crashes while its servers run the calls that it placed. Nobody would
        count them, and its servers would seem idle to all routers.
        """

        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            ticket = bed.a.send(CALL, placement, bed.now)
            bed.client.adopt_from_lost({"b": 7})
            assert bed.a.own_load() == {}
            bed.client.adopt_from_lost({"b": 8})
            load = bed.a.own_load()[placement.choice.server]
            assert load.running == 1
            assert load.waiting_tokens == placement.choice.tokens
            bed.a.begin(ticket, bed.now)
            bed.a.end(ticket, None, bed.now)
            assert bed.a.own_load() == {}
            assert bed.client.pop_notes() == []

        run(test)

    def test_calls_of_a_lost_router_are_dropped(self):
        async def test():
            bed = OwnerBed()
            bed.a.send(CALL, await bed.place(), bed.now)
            bed.granter.forget_routers({"a": 5}, bed.now)
            assert bed.running() == 1
            bed.granter.forget_routers({"a": 6}, bed.now)
            assert bed.running() == 0

        run(test)

    def test_a_caller_that_leaves_returns_its_place(self):
        async def test():
            bed = OwnerBed()
            with anyio.move_on_after(0):
                await bed.place()
            bed.list_held()
            bed.flush()
            assert bed.running() == 0

        run(test)

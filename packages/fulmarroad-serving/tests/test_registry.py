"""Backend servers that are usable, cold, restarted or removed."""

import pytest
from attrs import evolve

from fulmarroad_serving import Instance, Registry, Service
from fulmarroad_serving._registry import LAPSE_GRACE_S, cold_bound
from fulmarroad_serving._restarts import SUSPECT_S, Contact

SERVER = Instance("s-1", "drafting", "127.0.0.1", 9001, "fes", 8)


def usable(registry):
    return [row.instance.id for row in registry.usable("drafting")]


class TestRemoval:
    def test_a_draining_server_gets_nothing(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.put(evolve(SERVER, draining=True), 1.0)
        assert usable(registry) == []

    def test_a_removed_server_gets_nothing_at_once(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert registry.remove("s-1", 1.0)
        assert usable(registry) == []

    def test_an_excluded_data_centre_gets_nothing_until_it_is_included(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.exclude_centre("fes")
        assert usable(registry) == []
        registry.include_centre("fes")
        assert usable(registry) == ["s-1"]


class TestStarts:
    def test_servers_in_the_first_listing_have_been_running(self):
        """A router restarts among servers that have cached their prompt parts. Treated
        as new, each would fetch these parts from other engines for seconds.
        """
        registry = Registry()
        registry.put(SERVER, 100.0)
        assert 100.0 - registry.get("s-1").started_at > 3600.0

    def test_a_server_that_is_warming_up_has_just_started(self):
        registry = Registry()
        registry.put(evolve(SERVER, warmup_left_s=3.0), 100.0)
        assert registry.get("s-1").started_at == 100.0

    def test_a_server_added_after_the_first_listing_has_just_started(self):
        registry = Registry()
        registry.put(SERVER, 100.0)
        registry.note_listed()
        registry.put(evolve(SERVER, id="s-2"), 130.0)
        assert registry.get("s-2").started_at == 130.0

    def test_a_server_restarted_under_its_id_has_just_started(self):
        registry = Registry()
        registry.put(SERVER, 100.0)
        registry.note_listed()
        registry.put(evolve(SERVER, started_ms=7), 130.0)
        assert registry.get("s-1").started_at == 130.0


class TestLapsedEntries:
    def test_servers_stay_usable_while_their_entries_may_be_rewritten(self):
        """Every entry expires in a store outage although the servers run. Removing them
        at once would make the router refuse every call for two seconds.
        """
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert not registry.remove("s-1", 10.0, store_failure_age_s=0.5)
        assert usable(registry) == ["s-1"]
        assert registry.expire(10.0 + LAPSE_GRACE_S - 0.6) == []
        assert registry.expire(10.0 + LAPSE_GRACE_S - 0.5) == ["s-1"]

    def test_a_rewritten_entry_keeps_its_server(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.remove("s-1", 10.0, store_failure_age_s=0.0)
        registry.put(SERVER, 11.0)
        assert registry.expire(20.0) == []

    def test_a_draining_server_gets_no_grace_period(self):
        """A server that was draining before a store outage has stopped since. Keeping
        it in use would send it calls long after its removal.
        """
        registry = Registry()
        registry.put(evolve(SERVER, draining=True), 0.0)
        assert registry.remove("s-1", 10.0, store_failure_age_s=0.0)


class TestReturns:
    def returned(self, **changes):
        """Remove a server and put its entry again; return whether it has restarted."""
        registry = Registry()
        run = evolve(SERVER, started_ms=5)
        registry.put(run, 0.0)
        registry.note_listed()
        registry.remove("s-1", 10.0)
        return registry.put(evolve(run, **changes), 12.5), registry

    def test_a_run_whose_entry_returns_has_not_restarted(self):
        """Guard against a server that gets more calls than it has slots for: it didn't
        write its entry for some seconds, and its running calls were forgotten.
        """
        restarted, registry = self.returned()
        assert not restarted
        assert registry.get("s-1").started_at < 0.0
        assert usable(registry) == ["s-1"]

    def test_another_run_under_the_id_has_just_started(self):
        restarted, registry = self.returned(started_ms=6)
        assert restarted
        assert registry.get("s-1").started_at == 12.5

    def test_a_run_without_a_known_start_has_just_started(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.remove("s-1", 10.0)
        assert registry.put(SERVER, 12.5)

    def test_a_run_that_left_after_its_drain_takes_no_calls(self):
        registry = Registry()
        run = evolve(SERVER, started_ms=5)
        registry.put(evolve(run, draining=True), 0.0)
        registry.remove("s-1", 10.0)
        registry.put(run, 12.5)
        assert usable(registry) == []


class TestColdServers:
    def test_a_server_restarted_under_its_id_is_cold(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert registry.put(evolve(SERVER, started_ms=5, warmup_left_s=3.0), 10.0)
        assert registry.get("s-1").cold(12.9)
        assert not registry.get("s-1").cold(13.1)

    def test_a_server_is_cold_after_a_broken_connection_until_its_entry_arrives(self):
        """A server crashes and restarts cold within a second, and its entry is written
        a second later. Calls at the usual rate until then would crash it again.
        """
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.suspect("s-1", Contact(8.0, 9.9), 10.0)
        assert registry.get("s-1").cold(10.0 + SUSPECT_S - 0.1)
        registry.put(SERVER, 11.0)
        assert not registry.get("s-1").cold(11.0)

    def is_cold_after(self, contact, run=SERVER):
        """Return whether a server that broke a call at 10 s is cold at 11 s."""
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.suspect("s-1", Contact(8.0, 9.9), 10.0)
        registry.note_contact(run, contact)
        return registry.get("s-1").cold(11.0)

    def test_a_server_that_goes_on_with_an_older_connection_is_not_cold(self):
        """Guard against a sound server without calls for four seconds after a reset."""
        assert not self.is_cold_after(Contact(9.0, 10.2))

    @pytest.mark.parametrize(
        "contact",
        [Contact(10.1, 10.5), Contact(9.85, 10.5), Contact(9.0, 10.05)],
        ids=["opened after it", "opened at the same moment", "heard from a buffer"],
    )
    def test_a_connection_that_a_restarted_process_may_have_stays_no_proof(
        self, contact
    ):
        """Guard against a cold server that gets calls at the usual rate: the bytes may
        be those of the process before, or of the one that started since."""
        assert self.is_cold_after(contact)

    def test_an_answer_of_another_run_is_no_proof(self):
        assert self.is_cold_after(Contact(9.0, 10.5), evolve(SERVER, started_ms=9))

    def test_each_break_has_to_be_refuted(self):
        """Guard against a break that is forgotten as another one follows."""
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.suspect("s-1", Contact(5.0, 6.0), 10.0)
        registry.suspect("s-1", Contact(8.0, 9.9), 10.1)
        registry.note_contact(SERVER, Contact(7.0, 10.5))
        assert registry.get("s-1").cold(11.0)
        registry.note_contact(SERVER, Contact(5.5, 10.5))
        assert not registry.get("s-1").cold(11.0)

    def test_the_call_rate_bound_of_a_cold_server(self):
        service = Service("drafting", warmup_rate=12.0)
        assert cold_bound(service, 1.5, 5.0) == 23.0

"""Which backend servers may get work."""

from attrs import evolve

from fulmarroad_serving import Instance, Registry, Service
from fulmarroad_serving._registry import LAPSE_GRACE_S, SUSPECT_S, cold_bound

SERVER = Instance("s-1", "drafting", "127.0.0.1", 9001, "fes", 8)


def usable(registry):
    return [row.instance.id for row in registry.usable("drafting")]


class TestLeaving:
    def test_a_draining_server_gets_nothing(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.put(evolve(SERVER, draining=True), 1.0)
        assert usable(registry) == []

    def test_a_removed_server_is_gone_at_once(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert registry.remove("s-1", 1.0)
        assert usable(registry) == []

    def test_a_data_centre_that_is_left_gets_nothing_until_it_is_back(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.exclude_centre("fes")
        assert usable(registry) == []
        registry.include_centre("fes")
        assert usable(registry) == ["s-1"]


class TestStarts:
    def test_a_router_that_starts_finds_servers_that_have_run(self):
        """A router is restarted among servers that have read their parts. Taking them
        for new ones, it would have neighbours read all those parts again for seconds.
        """
        registry = Registry()
        registry.put(SERVER, 100.0)
        assert 100.0 - registry.get("s-1").started_at > 3600.0

    def test_a_server_that_warms_up_has_just_started(self):
        registry = Registry()
        registry.put(evolve(SERVER, warmup_left_s=3.0), 100.0)
        assert registry.get("s-1").started_at == 100.0

    def test_a_server_that_comes_later_has_just_started(self):
        registry = Registry()
        registry.put(SERVER, 100.0)
        registry.note_listed()
        registry.put(evolve(SERVER, id="s-2"), 130.0)
        assert registry.get("s-2").started_at == 130.0

    def test_a_new_start_under_the_same_id_has_just_started(self):
        registry = Registry()
        registry.put(SERVER, 100.0)
        registry.note_listed()
        registry.put(evolve(SERVER, started_ms=7), 130.0)
        assert registry.get("s-1").started_at == 130.0


class TestLapsedEntries:
    def test_servers_stay_while_their_entries_may_come_back(self):
        """The store was away and every entry lapsed, although the servers live. Dropped
        at once, they would leave every caller with a refusal for two seconds.
        """
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert not registry.remove("s-1", 10.0, store_failure_age_s=0.5)
        assert usable(registry) == ["s-1"]
        assert registry.expire(10.0 + LAPSE_GRACE_S - 0.6) == []
        assert registry.expire(10.0 + LAPSE_GRACE_S - 0.5) == ["s-1"]

    def test_an_entry_that_is_back_keeps_its_server(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.remove("s-1", 10.0, store_failure_age_s=0.0)
        registry.put(SERVER, 11.0)
        assert registry.expire(20.0) == []

    def test_a_draining_server_does_not_come_back(self):
        """A server that was leaving before the outage has left. Kept in use, it would
        get calls long after its time.
        """
        registry = Registry()
        registry.put(evolve(SERVER, draining=True), 0.0)
        assert registry.remove("s-1", 10.0, store_failure_age_s=0.0)


class TestWarmth:
    def test_a_new_start_under_the_same_id_is_cold(self):
        registry = Registry()
        registry.put(SERVER, 0.0)
        assert registry.put(evolve(SERVER, started_ms=5, warmup_left_s=3.0), 10.0)
        assert registry.get("s-1").cold(12.9)
        assert not registry.get("s-1").cold(13.1)

    def test_a_broken_connection_counts_as_a_cold_start_until_the_entry_tells(self):
        """A server crashes and is back within the second, cold; its entry is written a
        second later. Calls at the usual rate meanwhile would crash it again.
        """
        registry = Registry()
        registry.put(SERVER, 0.0)
        registry.suspect("s-1", 10.0)
        assert registry.get("s-1").cold(10.0 + SUSPECT_S - 0.1)
        registry.put(SERVER, 11.0)
        assert not registry.get("s-1").cold(11.0)

    def test_the_bound_of_a_cold_server(self):
        service = Service("drafting", warmup_rate=12.0)
        assert cold_bound(service, 1.5, 5.0) == 23.0

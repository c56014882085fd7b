"""What routers call complete, against every history of the store and their copies."""

from attrs import define, field
from history_store import HistoryStore
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_bed import make_catalog

from fulmarroad.audit import AuditTrail
from fulmarroad_serving import (
    Dispatcher,
    FleetBounds,
    Instance,
    ReplicaItem,
    StateReplica,
    position,
)
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import CatalogFact, InstanceFact
from fulmarroad_serving.exceptions import HistoryLostError
from fulmarroad_serving.streams._keepers import StreamKeepers
from fulmarroad_serving.streams._records import StreamOrigin
from fulmarroad_serving.streams._views import Confirmation, VersionView, join_views

SERVICE = "drafting"
STEP_S = 1.0
ROUTERS = 3
NAMES = ("s-1", "s-2")

OPERATIONS = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(NAMES), st.sampled_from("abcd")),
    st.tuples(st.just("remove"), st.sampled_from(NAMES)),
    st.tuples(st.just("pass_by"), st.sampled_from("efgh")),
    st.tuples(st.just("configure")),
    st.tuples(st.just("discard")),
    st.tuples(st.just("restore"), st.integers(1, 4)),
    st.tuples(st.just("read"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("list_all"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("copy"), st.integers(0, ROUTERS - 1), st.integers(1, 2)),
    st.tuples(st.just("restart"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("wait")),
)
HISTORIES = st.lists(OPERATIONS, max_size=40)


@define
class RouterView:
    """One router's copy of the store, and what it says of the versions it knows."""

    store: HistoryStore
    clock: object
    state: RouterState = field(init=False)
    keepers: StreamKeepers = field(init=False)

    def __attrs_post_init__(self):
        dispatcher = Dispatcher("r", "fes", FleetBounds(), 1)
        clock, pool = self.clock, ConnectionPool(self.clock)
        self.state = RouterState(self.store, dispatcher, pool, AuditTrail(), clock)
        self.keepers = StreamKeepers(
            "r",
            "fes",
            lambda service: dispatcher.registry.versions(service, clock()),
            dict,
            clock,
            lambda: self.state.replica.at,
        )
        self.state.on_items = self.note_copy

    def note_copy(self, at, hides_changes):
        self.keepers.watch.note_copy(at, self.clock(), hides_changes=hides_changes)

    def read(self):
        """Read the newest changes; return whether the store had them all."""
        if not self.state.replica.known:
            return False
        try:
            listing = self.store.changes_after(self.state.replica.at)
        except HistoryLostError:
            return False
        self.state.apply_changes(listing.items, listing.at, 60.0, "store")
        return True

    def list_all(self):
        listing = self.store.listing()
        self.state.apply_listing(listing.items, listing.at, 60.0, "store")

    def copy(self, peer):
        delta = peer.state.replica.since(self.state.replica.at)
        self.state.apply_delta(delta, 60.0, "peer")

    def view(self, *, is_confirmed=False):
        return self.keepers.view([SERVICE], is_confirmed=is_confirmed)


class World:
    """A store, routers that read it or copy it, and the versions that served."""

    def __init__(self):
        self.now = 100.0
        self.store = HistoryStore()
        self.store.put("op/config", CatalogFact(make_catalog()))
        self.live = {}
        self.served = {}
        """When an entry of each version was last in the store."""
        self.routers = [self.new_router() for _ in range(ROUTERS)]
        self.put("s-1", "a")
        for number in range(ROUTERS):
            self.list_all(number)
        self.wait()
        self.note_served()

    def new_router(self):
        return RouterView(self.store, lambda: self.now)

    def apply(self, operation, *args):
        getattr(self, operation)(*args)
        self.note_served()

    def note_served(self):
        for fact in self.live.values():
            self.served[fact.instance.version] = self.now

    def recent(self, seconds):
        """Return the versions with an entry within the last seconds."""
        since = self.now - seconds
        return {
            StreamOrigin(SERVICE, name)
            for name, at in self.served.items()
            if at > since
        }

    def put(self, name, version):
        instance = Instance(name, SERVICE, "h", 1, "fes", 8, version=version)
        self.live[name] = InstanceFact(instance)
        self.store.put_server(instance)

    def remove(self, name):
        if self.live.pop(name, None) is not None:
            self.store.remove_server(name)

    def pass_by(self, version):
        """Let a version come and go between two reads of most routers."""
        self.put("s-9", version)
        self.note_served()
        self.remove("s-9")

    def configure(self):
        self.store.put("op/other", object())

    def discard(self):
        self.store.discard()

    def restore(self, revisions):
        """Restore the store from a copy that lacks the newest changes."""
        store = self.store
        store.era += 1
        store.revision = max(1, store.revision - revisions)
        store.changes = [row for row in store.changes if row[1] <= store.revision]
        store.live = {}
        for _, _, item in store.changes:
            store.live[item.key] = item
            if item.data is None:
                del store.live[item.key]
        store.discarded = store.revision
        facts = [row.data for row in store.live.values()]
        self.live = {
            row.instance.id: row for row in facts if isinstance(row, InstanceFact)
        }

    def read(self, number):
        self.routers[number].read()

    def list_all(self, number):
        self.routers[number].list_all()

    def copy(self, number, step):
        peer = self.routers[(number + step) % ROUTERS]
        self.routers[number].copy(peer)

    def restart(self, number):
        self.routers[number] = self.new_router()

    def wait(self):
        self.now += STEP_S


class TestKnownVersions:
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(HISTORIES, st.sets(st.integers(0, ROUTERS - 1), min_size=1), st.data())
    def test_a_list_that_the_store_confirms_names_every_version_that_served(
        self, history, asked, data
    ):
        """Guard against a version that came and went where no router that was asked
        saw it, while one of them calls its list complete for that time.
        """
        world = World()
        for row in history:
            world.apply(*row)
        views = []
        for number in sorted(asked):
            router = world.routers[number]
            is_confirmed = data.draw(st.booleans()) and router.read()
            views.append(router.view(is_confirmed=is_confirmed))
        known = join_views(views[0], views[1:], all_answered=False)
        if known.confirmation is not Confirmation.NONE:
            assert world.recent(known.watched_s) <= known.versions

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(HISTORIES, st.lists(OPERATIONS, max_size=6))
    def test_views_from_before_the_confirmation_still_join(self, history, meanwhile):
        """Guard against answers of other routers that have grown old by the time that
        the store has answered.
        """
        world = World()
        for row in history:
            world.apply(*row)
        views = [row.view() for row in world.routers[1:]]
        for row in meanwhile:
            world.apply(*row)
        if world.routers[0].read():
            own = world.routers[0].view(is_confirmed=True)
            known = join_views(own, views, all_answered=False)
            assert world.recent(known.watched_s) <= known.versions

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(HISTORIES)
    def test_all_routers_together_name_every_version_that_one_of_them_knows(
        self, history
    ):
        """Guard against a version that one router can have used and that the others
        don't know, while the store confirms nothing.
        """
        world = World()
        used = {}
        for row in history:
            world.apply(*row)
            for router in world.routers:
                for version in router.view().versions:
                    used[version] = world.now
        views = sorted((row.view() for row in world.routers), key=lambda row: -row.at)
        known = join_views(views[0], views[1:], all_answered=True)
        assert known.confirmation is Confirmation.ROUTERS
        assert known.watched_s == min(row.watched_s for row in views)
        recent = {row for row, at in used.items() if at > world.now - known.watched_s}
        assert recent <= known.versions
        if views[-1].at < views[0].at:
            # What the others know is of a configuration that it hasn't read.
            late = join_views(views[-1], views[:-1], all_answered=True)
            assert late.confirmation is Confirmation.NONE


PEER = Confirmation.PEER


def make_view(versions="a", **changes):
    names = frozenset(StreamOrigin(SERVICE, name) for name in versions)
    return VersionView(names, **changes)


class TestJoinedViews:
    def test_the_confirmed_view_that_reaches_back_furthest_counts(self):
        """Guard against streams refused as a router that is asked too has just started
        and read a change that came after this router's confirmation.
        """
        store = Confirmation.STORE
        own = make_view(watched_s=60.0, since_at=2, at=9, confirmation=store)
        young = make_view(watched_s=1.0, since_at=10, at=11, confirmation=PEER)
        known = join_views(own, [young], all_answered=False)
        assert (known.watched_s, known.confirmation) == (60.0, store)

    def test_a_view_that_is_newer_than_the_own_one_confirms_nothing(self):
        """Guard against services that an older configuration chose."""
        peer = make_view(watched_s=60.0, since_at=2, at=9, confirmation=PEER)
        for at, confirmation in ((8, Confirmation.NONE), (9, PEER)):
            own = make_view(watched_s=60.0, since_at=2, at=at)
            known = join_views(own, [peer], all_answered=False)
            assert known.confirmation is confirmation

    def test_views_join_over_several_routers(self):
        """Guard against streams refused in a rolling restart, in which each router has
        watched since just before the next one ended.
        """
        confirmed = Confirmation.STORE
        views = [
            make_view("a", watched_s=1.0, since_at=8, at=9, confirmation=confirmed),
            make_view("b", watched_s=5.0, since_at=5, at=8),
            make_view("c", watched_s=9.0, since_at=3, at=5),
        ]
        known = join_views(views[0], views[1:], all_answered=False)
        assert known.watched_s == 9.0
        assert known.versions == make_view("abc").versions

    def test_a_view_that_ends_before_the_next_one_begins_leaves_a_gap(self):
        """Guard against a version that came and went between two views."""
        confirmed = Confirmation.STORE
        views = [
            make_view(watched_s=1.0, since_at=8, at=9, confirmation=confirmed),
            make_view(watched_s=9.0, since_at=3, at=7),
        ]
        assert join_views(views[0], views[1:], all_answered=False).watched_s == 1.0

    def test_a_view_that_never_began_joins_none(self):
        """Guard against a router that has read nothing and is joined by position 0."""
        confirmed = Confirmation.STORE
        views = [
            make_view(watched_s=1.0, since_at=0, at=9, confirmation=confirmed),
            make_view(watched_s=9.0, since_at=0, at=0),
        ]
        assert join_views(views[0], views[1:], all_answered=False).watched_s == 1.0

    def test_without_a_confirmation_the_time_is_still_told(self):
        """Guard against log lines that hide how long a router has watched."""
        known = join_views(make_view(watched_s=9.0), [], all_answered=False)
        assert (known.watched_s, known.confirmation) == (9.0, Confirmation.NONE)


class TestHiddenChanges:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(HISTORIES, HISTORIES, st.booleans())
    def test_a_copy_that_hides_nothing_shows_every_entry_written_meanwhile(
        self, before, meanwhile, is_listing
    ):
        """Guard against a server that registered and left between two copies, which
        are taken for complete.
        """
        world = World()
        for row in before:
            world.apply(*row)
        own, peer = world.routers[:2]
        since = own.state.replica.at
        for operation, *args in meanwhile:
            # This router is out of step meanwhile.
            if operation not in ("read", "list_all", "copy", "restart") or args[0]:
                world.apply(operation, *args)
        if is_listing:
            listing = world.store.listing()
            items, at, is_snapshot = listing.items, listing.at, True
        else:
            delta = peer.state.replica.since(since)
            items, at, is_snapshot = delta.items, delta.at, delta.is_snapshot
        if at <= since or own.state.replica.hides_changes(
            items, at, is_snapshot=is_snapshot
        ):
            return
        written = [
            item
            for _, _, item in world.store.changes
            if since < item.revision <= at and item.data is not None
        ]
        shown = {(item.key, item.revision) for item in items}
        assert all((item.key, item.revision) in shown for item in written)

    def test_changes_of_an_item_that_is_still_there_are_counted_once(self):
        """Guard against a second change that makes up for a hidden one in the count."""
        copy = StateReplica()
        copy.replace([ReplicaItem("a", 1, b"x")], 5)
        items = (ReplicaItem("a", 6, b"y"), ReplicaItem("a", 7, b"z"))
        assert copy.hides_changes(items, 8, is_snapshot=False)
        assert copy.hides_changes((*items[1:], *items[1:]), 7, is_snapshot=False)

    def test_each_change_that_a_copy_shows_is_counted(self):
        """Guard against a gap after every outage: a router that has read all that it
        missed would refuse the streams of lost routers for as long as they live.
        """
        copy = StateReplica()
        copy.replace([ReplicaItem("a", 1, b"x"), ReplicaItem("b", 2, b"x")], 5)
        changes = (ReplicaItem("a", 6, b"y"), ReplicaItem("b", 7))
        assert not copy.hides_changes(changes, 7, is_snapshot=False)
        assert not copy.hides_changes(changes[:1], 7, is_snapshot=True)
        assert not copy.hides_changes((), 5, is_snapshot=False)

    def test_a_deletion_that_was_read_before_is_not_counted_again(self):
        """Guard against a removed server that makes up for a hidden change."""
        copy = StateReplica()
        copy.replace([ReplicaItem("a", 1, b"x"), ReplicaItem("b", 2, b"x")], 2)
        copy.merge([ReplicaItem("a", 3)], 3)
        assert copy.hides_changes([ReplicaItem("b", 2, b"x")], 4, is_snapshot=True)

    def test_an_item_newer_than_a_copy_is_not_counted_in_it(self):
        """Guard against an item that a peer got from elsewhere and that makes up for a
        hidden change, or that this router has and the peer doesn't.
        """
        copy = StateReplica()
        copy.replace([ReplicaItem("a", 1, b"x")], 5)
        assert copy.hides_changes([ReplicaItem("b", 8, b"y")], 6, is_snapshot=False)
        copy.merge([ReplicaItem("b", 8, b"y")])
        assert copy.hides_changes([ReplicaItem("a", 1, b"x")], 6, is_snapshot=True)

    def test_a_copy_from_before_a_restore_leaves_no_gap(self):
        """Guard against a gap each time that a peer sends what it has read before the
        store was restored: nothing of it is applied.
        """
        copy = StateReplica()
        copy.replace([ReplicaItem("a", position(2, 1), b"x")], position(2, 3))
        items = [ReplicaItem("a", position(1, 7), b"y")]
        assert not copy.hides_changes(items, position(1, 9), is_snapshot=False)
        assert copy.hides_changes(items, position(3, 1), is_snapshot=True)

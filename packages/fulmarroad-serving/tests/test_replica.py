"""Copies of the store that routers keep and pass to each other."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_serving import ReplicaItem, StateReplica


def item(key, revision, data=b"x"):
    return ReplicaItem(key, revision, data)


class TestHiddenChanges:
    """What a copy may lack that came and went since the last one."""

    def hides(self, items, at, *, is_snapshot):
        copy = StateReplica()
        copy.replace([item("a", 4), item("b", 5)], 5)
        return copy.hides_changes(items, at, is_snapshot=is_snapshot)

    def test_a_copy_that_shows_each_revision_hides_nothing(self):
        assert not self.hides([item("c", 6), item("b", 7)], 7, is_snapshot=False)
        listed = [item("a", 4), item("c", 6)]
        assert not self.hides(listed, 7, is_snapshot=True)  # the other deleted "b"
        assert not self.hides([item("a", 4)], 5, is_snapshot=True)

    def test_a_revision_that_is_not_shown_may_be_of_a_server_that_left(self):
        """Guard against a version that joined and left between two copies."""
        listed = [item("a", 4), item("b", 5), item("c", 6)]
        assert self.hides(listed, 7, is_snapshot=True)
        assert self.hides([item("b", 7)], 7, is_snapshot=False)
        assert self.hides([item("c", 7, None)], 7, is_snapshot=False)

    def test_a_later_change_than_the_copy_shows_no_earlier_one(self):
        assert self.hides([item("c", 9)], 7, is_snapshot=False)


class TestMerging:
    def test_an_older_item_that_arrives_late_changes_nothing(self):
        """A router gets a change from the store and later the former value from a slow
        peer. Applying that value would make a revoked key valid again.
        """
        copy = StateReplica()
        copy.replace([item("a", 5)], 5)
        assert copy.merge([item("a", 4, b"old")], 4) == ()
        assert copy.at == 5

    def test_a_listing_deletes_keys_that_it_does_not_contain(self):
        copy = StateReplica()
        copy.replace([item("a", 1), item("b", 2)], 2)
        changed = copy.replace([item("a", 1)], 9)
        assert changed == (ReplicaItem("b", 9),)

    def test_a_listing_older_than_the_copy_deletes_nothing(self):
        """A peer that was cut off sends its whole copy, which misses recent writes.
        Deleting what it doesn't contain would remove running servers.
        """
        copy = StateReplica()
        copy.replace([item("a", 1)], 5)
        copy.merge([item("b", 7)], 7)
        assert copy.replace([item("a", 1)], 6) == ()

    def test_an_item_that_was_deleted_before_the_listing_does_not_come_back(self):
        """A router asks a peer for changes and reads a newer listing before the
        answer arrives. The answer names a server removed in between. Adding it
        would keep the server in use forever, as its removal is not sent again.
        """
        copy = StateReplica()
        copy.replace([item("a", 1)], 9)
        assert copy.merge([item("gone", 7)], 8) == ()
        assert copy.replace([item("a", 1), item("gone", 7)], 8) == ()

    def test_the_change_position_moves_only_when_an_item_changes(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 3)
        copy.merge([], 8)
        assert (copy.at, copy.news_at) == (8, 3)


class TestDeltas:
    def test_a_peer_gets_only_the_items_it_is_missing(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 1)
        copy.merge([item("b", 2), ReplicaItem("a", 3)], 3)
        delta = copy.since(2)
        assert not delta.is_snapshot
        assert delta.items == (ReplicaItem("a", 3),)

    def test_a_peer_with_a_server_missing_from_a_newer_listing_gets_the_whole_copy(
        self,
    ):
        """A router starts and lists the store after a server was removed. A peer that
        the store refuses still has the server and asks this router for changes. A delta
        without the removal would leave the server in use at that peer.
        """
        peer, started = StateReplica(), StateReplica()
        peer.replace([item("a", 1), item("server", 2)], 2)
        started.replace([item("a", 1)], 4)
        delta = started.since(peer.at)
        assert delta.is_snapshot
        assert peer.apply_delta(delta) == (ReplicaItem("server", 4),)

    def test_a_peer_that_misses_pruned_deletions_gets_the_whole_copy(self):
        """Only a limited number of deletions is kept. A peer that was away for longer
        would keep removed servers if it got the latest changes only.
        """
        copy = StateReplica()
        copy.replace([item(f"k{n}", 1) for n in range(600)], 1)
        copy.replace([], 2)
        late = StateReplica()
        late.replace([item(f"k{n}", 1) for n in range(600)], 1)
        assert len(late.apply_delta(copy.since(late.at))) == 600

    def test_the_delta_of_an_empty_peer_changes_nothing(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 1)
        assert copy.apply_delta(StateReplica().since(0)) == ()
        assert copy.at == 1

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
        st.data(),
    )
    def test_copies_converge_whichever_way_changes_arrive(self, writes, data):
        store, direct, behind = {}, StateReplica(), StateReplica()
        direct.replace([], 1)
        for revision, (key, deleted) in enumerate(writes, start=2):
            change = ReplicaItem(key, revision, None if deleted else b"%d" % revision)
            store[key] = change
            direct.merge([change], revision)
            if data.draw(st.booleans()):
                behind.apply_delta(direct.since(behind.at))
        behind.apply_delta(direct.since(behind.at))
        live = {key for key, row in store.items() if row.data is not None}
        for copy in (direct, behind):
            rows = copy.since(0).items
            assert {row.key: row for row in rows} == {key: store[key] for key in live}

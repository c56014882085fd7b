"""Copies of the store that routers keep and hand on."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_serving import ReplicaItem, StateReplica


def item(key, revision, data=b"x"):
    return ReplicaItem(key, revision, data)


class TestMerging:
    def test_an_older_item_that_comes_late_changes_nothing(self):
        """A router hears a change from the store and later, from a slow peer, the value
        before it. Taken over, a withdrawn key would be valid again.
        """
        copy = StateReplica()
        copy.replace([item("a", 5)], 5)
        assert copy.merge([item("a", 4, b"old")], 4) == ()
        assert copy.at == 5

    def test_a_listing_deletes_what_it_lacks(self):
        copy = StateReplica()
        copy.replace([item("a", 1), item("b", 2)], 2)
        fresh = copy.replace([item("a", 1)], 9)
        assert fresh == (ReplicaItem("b", 9),)

    def test_a_listing_older_than_the_copy_deletes_nothing(self):
        """A peer that was cut off for a while gives its whole copy. It lacks what was
        written since, and servers that live would be dropped.
        """
        copy = StateReplica()
        copy.replace([item("a", 1)], 5)
        copy.merge([item("b", 7)], 7)
        assert copy.replace([item("a", 1)], 6) == ()

    def test_an_item_that_was_deleted_before_the_listing_does_not_come_back(self):
        """A router asks a peer for news, reads a whole listing before the answer is
        there, and the answer names a server that has left meanwhile. Taken in, the
        server would get calls for good, as its removal is never told again.
        """
        copy = StateReplica()
        copy.replace([item("a", 1)], 9)
        assert copy.merge([item("gone", 7)], 8) == ()
        assert copy.replace([item("a", 1), item("gone", 7)], 8) == ()

    def test_news_are_told_only_where_something_changed(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 3)
        copy.merge([], 8)
        assert (copy.at, copy.news_at) == (8, 3)


class TestHandingOn:
    def test_a_peer_gets_only_what_it_lacks(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 1)
        copy.merge([item("b", 2), ReplicaItem("a", 3)], 3)
        delta = copy.since(2)
        assert not delta.is_snapshot
        assert delta.items == (ReplicaItem("a", 3),)

    def test_a_peer_that_saw_what_a_listing_no_longer_names_gets_the_whole_copy(self):
        """A router starts and lists after a server has left. A peer that the store
        turns away still has the server, asks this router for news and would never hear
        of the removal: calls would go to a server that is gone.
        """
        peer, started = StateReplica(), StateReplica()
        peer.replace([item("a", 1), item("server", 2)], 2)
        started.replace([item("a", 1)], 4)
        delta = started.since(peer.at)
        assert delta.is_snapshot
        assert peer.apply_delta(delta) == (ReplicaItem("server", 4),)

    def test_a_peer_that_lacks_forgotten_deletions_gets_the_whole_copy(self):
        """Deletions are remembered in a limited number. A peer that was away for longer
        would keep servers that are gone if it got only the newest changes.
        """
        copy = StateReplica()
        copy.replace([item(f"k{n}", 1) for n in range(600)], 1)
        copy.replace([], 2)
        late = StateReplica()
        late.replace([item(f"k{n}", 1) for n in range(600)], 1)
        assert len(late.apply_delta(copy.since(late.at))) == 600

    def test_nothing_is_taken_from_a_peer_that_knows_nothing(self):
        copy = StateReplica()
        copy.replace([item("a", 1)], 1)
        assert copy.apply_delta(StateReplica().since(0)) == ()
        assert copy.at == 1

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30),
        st.data(),
    )
    def test_copies_agree_whatever_way_the_news_take(self, writes, data):
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

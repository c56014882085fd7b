"""Searches for streams that nobody remembers, whom they ask and when they end."""

import anyio
import pytest
from attrs import define, evolve, field

from fulmarroad.testing import run_virtual
from fulmarroad_serving.streams._lookups import Answers
from fulmarroad_serving.streams._records import StreamOrigin
from fulmarroad_serving.streams._version_search import (
    FIRST_READ_S,
    LATE_READ_S,
    VersionSearch,
)
from fulmarroad_serving.streams._views import Confirmation, VersionView

KEY, SERVICES, LIFE_S = b"key", ("drafting",), 9.0
V1 = frozenset({StreamOrigin("drafting", "v1")})
OWN = VersionView(V1, watched_s=60.0, since_at=2, at=5)
ANSWER_S = 0.004


@define
class ScriptedKeepers:
    """Other routers that answer as told; `confirmed_at` is what one of them read."""

    confirmed_at: int | None = None
    is_all: bool = False
    own: VersionView = OWN
    origin: StreamOrigin | None = None
    asked: list = field(factory=list)

    def records_origin(self, key):
        return self.origin

    def view(self, services, *, is_confirmed=False):
        confirmation = Confirmation.STORE if is_confirmed else Confirmation.NONE
        return evolve(self.own, confirmation=confirmation)

    async def ask(self, key, services, routers=None, *, confirms=False):
        self.asked.append(confirms)
        await anyio.sleep(ANSWER_S)
        if not confirms or self.confirmed_at is None:
            return Answers(views=(OWN,), asked=1, answered=frozenset({"r"}))
        view = evolve(OWN, at=self.confirmed_at, confirmation=Confirmation.PEER)
        return Answers(views=(view,), asked=1, answered=frozenset({"r"}))

    def are_all(self, answers):
        return self.is_all

    def in_contact(self):
        return ["r"]


def search(keepers, *, reaches_store=False, names_stream=True):
    """Return the finding, the waits for the store, and the time in seconds."""
    waits = []

    async def confirm(since, timeout_s):
        waits.append(timeout_s)
        await anyio.sleep(ANSWER_S if reaches_store else timeout_s)
        return reaches_store

    async def main():
        found = VersionSearch(keepers, confirm, anyio.current_time)
        find = found.find_named if names_stream else found.find_unnamed
        begun_at = anyio.current_time()
        finding = await find(KEY, SERVICES, LIFE_S)
        return finding, waits, anyio.current_time() - begun_at

    return run_virtual(main)


class TestJoins:
    @pytest.mark.parametrize("names_stream", [True, False])
    def test_a_young_router_that_reads_the_store_is_joined_by_others(
        self, names_stream
    ):
        """Guard against streams refused at a router that has just started, although
        others have watched for long up to its first list.
        """
        own = evolve(OWN, watched_s=1.0, since_at=4)
        keepers = ScriptedKeepers(own=own)
        finding, _, _ = search(keepers, reaches_store=True, names_stream=names_stream)
        assert finding.is_complete(LIFE_S)
        assert keepers.asked == [False]

    def test_versions_that_only_this_router_knows_count(self):
        """Guard against the others' list taken for all, as one of them confirmed it."""
        other = frozenset({StreamOrigin("drafting", "v2")})
        keepers = ScriptedKeepers(confirmed_at=5, own=evolve(OWN, versions=other))
        finding, _, _ = search(keepers)
        assert finding.versions == V1 | other

    def test_a_record_of_this_router_asks_nobody(self):
        """Guard against packets and reads for streams that are known here."""
        keepers = ScriptedKeepers(origin=StreamOrigin("drafting", "v1"))
        finding, waits, seconds = search(keepers)
        assert finding.origin == keepers.origin
        assert (keepers.asked, waits, seconds) == ([], [], 0.0)


class TestCompleteLists:
    def test_a_list_behind_the_one_that_was_confirmed_tells_nothing(self):
        """Guard against evidence of the engines that an old list names, of which none
        holds a stream of a version that has joined since, and against services that an
        old configuration chose.
        """
        finding, _, _ = search(ScriptedKeepers(confirmed_at=6))
        assert not finding.is_complete(LIFE_S)
        assert not finding.list_is_complete

    def test_a_list_as_new_as_the_one_that_was_confirmed_names_all_engines(self):
        """Guard against engines that aren't asked, as only another router has read."""
        finding, _, _ = search(ScriptedKeepers(confirmed_at=5))
        assert finding.list_is_complete

    def test_a_list_that_the_store_confirmed_here_names_all_engines(self):
        finding, _, _ = search(ScriptedKeepers(), reaches_store=True)
        assert finding.list_is_complete

    def test_a_list_that_nobody_confirmed_names_not_all_engines(self):
        """Guard against evidence of the engines that an unconfirmed list names."""
        finding, _, _ = search(ScriptedKeepers())
        assert not finding.list_is_complete
        assert not finding.is_complete(LIFE_S)


@pytest.mark.parametrize("names_stream", [True, False])
class TestWaits:
    def test_the_word_of_all_routers_ends_the_search(self, names_stream):
        """Guard against callers who wait for a silent store that isn't needed."""
        keepers = ScriptedKeepers(is_all=True)
        finding, waits, seconds = search(keepers, names_stream=names_stream)
        assert finding.confirmation is Confirmation.ROUTERS
        assert waits == [FIRST_READ_S]
        assert seconds <= FIRST_READ_S + 2 * ANSWER_S

    def test_the_read_of_another_router_ends_the_wait_for_the_own(self, names_stream):
        """Guard against callers who wait for a silent store as a peer has read it."""
        keepers = ScriptedKeepers(confirmed_at=5)
        finding, waits, seconds = search(keepers, names_stream=names_stream)
        assert finding.confirmation is Confirmation.PEER
        assert waits == [FIRST_READ_S, LATE_READ_S]
        assert seconds <= FIRST_READ_S + 3 * ANSWER_S

    def test_a_search_that_finds_nothing_is_bounded(self, names_stream):
        """Guard against a router that is cut off and holds its callers."""
        finding, _, seconds = search(ScriptedKeepers(), names_stream=names_stream)
        assert finding.confirmation is Confirmation.NONE
        assert seconds <= FIRST_READ_S + LATE_READ_S + 3 * ANSWER_S

"""Lists of engines' caches, which streams share that nobody remembers."""

import anyio
import pytest
from attrs import define, evolve, field

from fulmarroad.testing import run_virtual
from fulmarroad.types import RefusalReason
from fulmarroad_serving import Instance, ServedRoute, Target
from fulmarroad_serving._catalog import CallKind
from fulmarroad_serving._served_call import ServedCall
from fulmarroad_serving.contracts import CallHead, EngineMemory
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.streams._engine_evidence import Doubt, Evidence
from fulmarroad_serving.streams._engine_lists import (
    ASK_FOR_S,
    MAX_ENGINES,
    MAX_HOLD_S,
    MAX_ROUNDS,
    EngineEvidence,
    EngineLists,
)
from fulmarroad_serving.streams._keepers import StreamKeepers
from fulmarroad_serving.streams._records import StreamOrigin
from fulmarroad_serving.streams._resumption import StreamResumption

SERVICE = "drafting"
LIFE_S = 9.0
HEAD = CallHead(
    "c-1",
    "h",
    last_event_id="2",
    resumes="c-0",
    own_part="own",
    own_part_tokens=10,
)
ROUTE = ServedRoute(
    "streams",
    "h",
    "/",
    CallKind.STREAM,
    (Target(SERVICE),),
    timeout_s=LIFE_S - 1,
    objective_s=1.0,
    max_attempts=2,
    priority=1,
    resumable=True,
)


def instance(name, version):
    return Instance(name, SERVICE, "h", 1, "centre", 8, started_ms=5, version=version)


@define
class Memories:
    """Stand in for two engines, of which one holds the part of the stream."""

    rows: list = field(factory=lambda: [instance("a", "v1"), instance("b", "v2")])
    asked: list = field(factory=list)
    answer_s: float = 0.01
    started_ms: int = 5
    fails: str = ""

    async def read(self, row, timeout_s):
        self.asked.append((row.id, anyio.current_time()))
        await anyio.sleep(self.answer_s)
        if row.id == self.fails:
            raise StoreError("No answer.")
        parts = {"own": 12} if row.id == "a" else {}
        return EngineMemory(self.started_ms, 1_000, parts)


def run(test, memories=None, departed=frozenset()):
    memories = memories or Memories()

    async def main():
        lists = EngineLists(memories, lambda: memories.rows, anyio.current_time)
        evidence = EngineEvidence(lists, lambda within_s: departed)
        async with anyio.create_task_group() as group:
            group.start_soon(lists.run)
            await test(evidence, memories)
            group.cancel_scope.cancel()

    run_virtual(main)


class TestLists:
    def test_streams_that_come_together_share_one_list_of_each_engine(self):
        async def test(evidence, memories):
            found = []

            async def find():
                found.append((await evidence.find(HEAD, LIFE_S)).origin)

            async with anyio.create_task_group() as group:
                for _ in range(50):
                    group.start_soon(find)
            assert found == [StreamOrigin(SERVICE, "v1")] * 50
            assert [name for name, _ in memories.asked] == ["a", "b"]

        run(test)

    def test_a_stream_is_not_placed_by_a_list_from_before_it_came(self):
        """Guard against a wrong version: the stream may have begun after the list."""

        async def test(evidence, memories):
            for _ in range(2):
                came_at = anyio.current_time()
                await evidence.find(HEAD, LIFE_S)
                assert memories.asked[-2][1] >= came_at
                assert anyio.current_time() - came_at <= MAX_HOLD_S

        run(test)

    def test_a_router_asks_a_few_times_and_only_after_its_start(self):
        """Guard against engines that are delayed by lists again and again."""

        async def test(evidence, memories):
            for _ in range(MAX_ROUNDS + 3):
                last = await evidence.find(HEAD, LIFE_S)
            assert last.doubt is Doubt.TOO_LATE
            assert len(memories.asked) == 2 * MAX_ROUNDS

        async def late(evidence, memories):
            await anyio.sleep(ASK_FOR_S + 0.1)
            assert (await evidence.find(HEAD, LIFE_S)).doubt is Doubt.TOO_LATE
            assert memories.asked == []

        run(test)
        run(late)

    @pytest.mark.parametrize(
        ("memories", "departed", "doubt"),
        [
            (Memories(fails="b"), frozenset(), Doubt.NO_ANSWER),
            (Memories(answer_s=5.0), frozenset(), Doubt.NO_ANSWER),
            (Memories(started_ms=6), frozenset(), Doubt.NO_ANSWER),
            (Memories(rows=[]), frozenset(), Doubt.NOT_HELD),
            (Memories(), None, Doubt.DEPARTURES_UNKNOWN),
            (
                Memories(rows=[instance("a", "v1")] * (MAX_ENGINES + 1)),
                frozenset(),
                Doubt.TOO_MANY_ENGINES,
            ),
        ],
    )
    def test_what_is_not_certain_is_refused_within_the_hold(
        self, memories, departed, doubt
    ):
        """Guard against a wrong version and a long wait: an engine is silent, or has
        started again and forgotten, or it isn't known which servers left.
        """

        async def test(evidence, memories):
            found = await evidence.find(HEAD, LIFE_S)
            assert found == Evidence(doubt=doubt)
            assert anyio.current_time() < MAX_HOLD_S

        run(test, memories, departed)


class TestTakeUps:
    def find(self, memories, departed=frozenset(), route=ROUTE, *, is_confirmed=True):
        """Return what becomes of a stream that no router knows, of two versions."""
        found = []

        async def test(evidence, memories):
            keepers = StreamKeepers(
                "r", "centre", lambda service: {"v1", "v2"}, dict, anyio.current_time
            )

            async def confirm(since, timeout_s):
                return is_confirmed

            resumption = StreamResumption(
                keepers, confirm, anyio.current_time, evidence
            )
            call = ServedCall(HEAD, "POST", b"/", b"", route, SERVICE, "w", 9.0)
            found.append((await resumption.find(call))[0])

        run(test, memories, departed)
        return found[0]

    def test_it_goes_on_at_the_version_that_its_engine_tells(self):
        take_up = self.find(Memories())
        assert take_up.origin == StreamOrigin(SERVICE, "v1")
        assert take_up.refusal is None

    def test_what_engines_cannot_tell_is_refused_as_unknown(self):
        take_up = self.find(Memories(fails="b"))
        assert take_up.refusal is RefusalReason.STREAM_UNKNOWN
        assert take_up.evidence == Evidence(doubt=Doubt.NO_ANSWER)

    def test_a_version_of_a_service_that_left_the_route_is_refused(self):
        """Guard against a stream that goes on at a service its route doesn't allow."""
        route = evolve(ROUTE, targets=(Target("reading"),))
        take_up = self.find(Memories(), route=route)
        assert take_up.refusal is RefusalReason.STREAM_ORIGIN_GONE

    def test_engines_are_not_asked_while_the_list_may_lack_some(self):
        """Guard against a stream placed by the caches of the engines of one version,
        as the router doesn't know yet that engines of another one have joined.
        """
        memories = Memories()
        take_up = self.find(memories, is_confirmed=False)
        assert take_up.refusal is RefusalReason.STREAM_UNKNOWN
        assert memories.asked == []

    def test_engines_are_not_asked_while_it_is_unknown_which_servers_left(self):
        """Guard against lists that delay engines and can't place anything."""
        memories = Memories()
        assert self.find(memories, None).refusal is RefusalReason.STREAM_UNKNOWN
        assert memories.asked == []

"""What engines have cached as evidence of the version that began a stream."""

import os
import random

import pytest
from attrs import evolve

from fulmarroad_serving.contracts import CallHead, EngineMemory
from fulmarroad_serving.streams._engine_evidence import (
    Doubt,
    EngineReply,
    StreamClaim,
    claim_of,
    decide_by_engines,
)
from fulmarroad_serving.streams._records import StreamOrigin

SEEDS = range(int(os.environ.get("ENGINE_EVIDENCE_SEEDS", "2000")))
"""Worlds in CI; a long run by hand sets the variable to 50,000 or more."""

OLD, NEW = StreamOrigin("drafting", "v1"), StreamOrigin("drafting", "v2")
OTHER = StreamOrigin("reading", "v1")
CLAIM = StreamClaim("own", 120)
CAPACITY = 1_000


def reply(origin, **parts):
    return EngineReply(origin, EngineMemory(1, CAPACITY, parts))


HELD = reply(OLD, own=120)


class TestDecision:
    @pytest.mark.parametrize(
        ("replies", "departed"),
        [
            ([HELD, reply(NEW)], ()),
            ([HELD, reply(OLD), reply(OTHER, else_=190)], ()),
            ([reply(OLD, own=40), HELD], ()),
            # What left is of the version that holds the part.
            ([HELD, reply(NEW)], (OLD,)),
            # What an engine of the version that holds the part evicted is no matter.
            ([reply(OLD, own=150, a=150, b=150, c=150, d=150, e=150), reply(NEW)], ()),
        ],
    )
    def test_the_only_version_that_holds_the_part_began_it(self, replies, departed):
        evidence = decide_by_engines(CLAIM, replies, frozenset(departed))
        assert (evidence.origin, evidence.doubt) == (OLD, None)

    @pytest.mark.parametrize(
        ("replies", "departed", "doubt"),
        [
            ([], (), Doubt.NOT_HELD),
            ([reply(OLD), reply(NEW, other=9)], (), Doubt.NOT_HELD),
            ([HELD, reply(NEW, own=1)], (), Doubt.TWO_VERSIONS),
            ([HELD, reply(OTHER, own=120)], (), Doubt.TWO_VERSIONS),
            ([reply(OLD, own=119), reply(NEW)], (), Doubt.HELD_IN_PART),
            ([HELD, EngineReply(NEW, None)], (), Doubt.NO_ANSWER),
            ([HELD, EngineReply(OLD, None)], (), Doubt.NO_ANSWER),
            (
                [HELD, reply(NEW, a=100, b=100, c=100, d=100, e=120)],
                (),
                Doubt.MAY_BE_EVICTED,
            ),
            ([HELD, reply(OLD, a=250), reply(NEW)], (), Doubt.MAY_BE_EVICTED),
            ([HELD, reply(NEW)], None, Doubt.DEPARTURES_UNKNOWN),
            ([HELD, reply(NEW)], (NEW,), Doubt.SERVERS_LEFT),
            ([HELD], (OLD, OTHER), Doubt.SERVERS_LEFT),
        ],
    )
    def test_another_version_that_may_have_begun_it_leaves_it_unknown(
        self, replies, departed, doubt
    ):
        """Guard against a text joined from two versions: one holds the part from
        another request, and the one that began the stream lost it, or wasn't heard.
        """
        evidence = decide_by_engines(CLAIM, replies, departed)
        assert (evidence.origin, evidence.doubt) == (None, doubt)


class TestClaim:
    HEAD = CallHead("id", "host", last_event_id="20", own_part="a", own_part_tokens=100)

    def test_it_covers_what_the_caller_has(self):
        assert claim_of(self.HEAD) == StreamClaim("a", 120)

    @pytest.mark.parametrize(
        "changes",
        [
            {"own_part": ""},
            {"own_part_tokens": 0},
            {"last_event_id": ""},
            {"last_event_id": "x"},
            {"last_event_id": "-1"},
            {"last_event_id": "²"},
        ],
    )
    def test_without_a_part_or_a_number_there_is_none(self, changes):
        assert claim_of(evolve(self.HEAD, **changes)) is None


class Engine:
    """One run of an engine, whose least recently used parts yield."""

    def __init__(self, origin):
        self.origin = origin
        self.parts = {}

    def run(self, part, tokens):
        tokens = max(tokens, self.parts.pop(part, 0))
        while sum(self.parts.values()) + tokens > CAPACITY:
            del self.parts[next(iter(self.parts))]
        self.parts[part] = tokens


class World:
    """Sessions at engines of several versions, and which of them began a stream."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.versions = [StreamOrigin("drafting", f"v{n}") for n in range(1, 4)]
        self.engines = [
            Engine(self.version()) for _ in range(self.random.randint(2, 6))
        ]
        self.used = {}  # tokens of each session's last request
        self.departed = set()

    def version(self):
        return self.random.choice(self.versions[: self.random.randint(1, 3)])

    def run_request(self, part):
        """Run a request that repeats or extends the last one of its session."""
        size = self.used.get(part, self.random.randint(20, 200))
        size = min(size + self.random.choice((0, 0, 10)), CAPACITY // 4)
        written = self.random.randint(1, 40)
        engine = self.random.choice(self.engines)
        if self.random.random() < 0.2:
            # It began there, and its router moved it before the first event.
            engine.run(part, size + self.random.randint(0, 40))
            engine = self.random.choice(self.engines)
        engine.run(part, size + written)
        self.used[part] = size
        return engine.origin, StreamClaim(part, size + self.random.randint(1, written))

    def change(self):
        """Let a server start, leave or start again, maybe as another version."""
        kind = self.random.choice(("start", "leave", "restart"))
        if kind != "start" and len(self.engines) > 1:
            left = self.random.choice(self.engines)
            self.engines.remove(left)
            self.departed.add(left.origin)
        if kind != "leave":
            self.engines.append(Engine(self.version()))

    def live(self, steps):
        for _ in range(steps):
            if self.random.random() < 0.03:
                self.change()
            self.run_request(f"session-{self.random.randint(0, 12)}")

    def replies(self):
        # Some engines don't answer.
        lost = self.random.random() < 0.1
        return [
            EngineReply(
                row.origin,
                None
                if lost and row is self.engines[0]
                else EngineMemory(1, CAPACITY, dict(row.parts)),
            )
            for row in self.engines
        ]

    def outcome(self):
        """Return what the engines say of one stream: right, unknown or wrong."""
        self.live(self.random.randint(0, 60))
        self.departed.clear()
        is_session = self.random.random() < 0.5
        part = f"session-{self.random.randint(0, 12)}" if is_session else "own"
        for _ in range(self.random.randint(0, 2)):
            self.run_request(part)
        truth, claim = self.run_request(part)
        self.live(self.random.randint(0, 15))
        found = decide_by_engines(claim, self.replies(), self.departed).origin
        if found is None:
            return "unknown"
        return "right" if found == truth else "wrong"


class TestSeries:
    def test_no_stream_is_placed_at_a_version_that_did_not_begin_it(self):
        """Guard against a wrong version: sessions run at several, requests are
        repeated, engines leave, restart and evict what they held.
        """
        outcomes = [World(seed).outcome() for seed in SEEDS]
        assert outcomes.count("wrong") == 0
        assert outcomes.count("right") > len(outcomes) / 20

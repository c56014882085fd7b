"""Decide what of the fleet's news goes to whom, and what of it is believed.

A small fleet tells everybody everything. A large one goes through the collectors of
each data centre, see `_digests`. Both may be in use at once while routers disagree on
the fleet's size, so what a digest already holds is not counted a second time.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

from attrs import define, evolve, field

from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._digests import (
    FRESH_S,
    Digest,
    MemberId,
    OwnReports,
    ReportSum,
    collectors,
    member_id,
    merge,
    sum_reports,
)
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._reports import Member, PeerBook, PeerReport, member_of
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._suspects import SuspectRow

MAX_DIRECT_PEERS = 16
"""Peers up to which each router tells all others itself: some 100 packets a second."""

KNOWN_EVERY = 6
"""Reports between two that name other routers: once or twice a second."""

MOST_KNOWN = 12
"""Routers named in one report, picked at random."""

MEMBERS_EVERY = 10
"""Digests between two that say where routers are: about once a second."""

MOST_PARTS = 40
"""Parts in one report, about 0.6 KB: more than a router sends between two reports."""

MOST_DIGEST_PARTS = 100
"""Parts in one digest, about 1.7 KB: what a data centre sends between two digests."""

MAX_SUSPECTS = 16
"""Suspects in one packet, 0.7 to 2 KB: an end that takes a hundred calls down with it
is told within a second, the most certain first."""

ROLE_S = 0.2
"""Age at which it is worked out anew who collects: each packet asks, and the answer
changes as routers come and go."""

COLLECTOR_SILENCE_S = 0.75
"""Silence after which another router collects in the place of one: ten of its digests,
so that lost packets alone hardly ever replace it."""

CANDIDATE_S = 6.0
"""Time after which a router is no longer thought of as a collector. Longer than it
counts as alive: with the collectors everybody falls silent at once, and someone has to
be left to turn to."""

FLEET = "*"
"""Source of loads that are the whole fleet's; data centres' follow after the same sign,
which no router's name begins with."""


@define
class _Heard:
    """Hold a sum that a collector sent."""

    total: ReportSum
    at: float
    senders: dict[RouterName, float] = field(factory=dict)

    def fresh(self, now: float) -> bool:
        return now - self.at < FRESH_S


class FleetView:
    """Hold one router's part in the exchange of reports."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        host: str,
        dispatcher: Dispatcher,
        source: random.Random,
    ) -> None:
        self._me = me
        self._centre = centre
        self._host = host
        self._dispatcher = dispatcher
        self._random = source
        self._own = OwnReports()
        self._last: PeerReport | None = None
        self._centres: dict[DataCentreName, _Heard] = {}
        self._fleet: _Heard | None = None
        self._direct: dict[MemberId, RouterName] = {}
        self._greet: dict[str, DataCentreName] = {}
        self._roles: dict[DataCentreName, tuple[float, tuple[RouterName, ...]]] = {}
        self._expected: dict[RouterName, float] = {}
        """When each collector here was heard last, or first counted on."""
        self._told = 0
        self.book = PeerBook(me, host)

    @property
    def relayed(self) -> bool:
        """Tell whether the fleet is too large for everybody to tell everybody."""
        return self.book.size > MAX_DIRECT_PEERS

    def collectors_of(
        self, centre: DataCentreName, now: float
    ) -> tuple[RouterName, ...]:
        """Return the routers that sum up a data centre's reports."""
        known = self._roles.get(centre)
        if known is not None and now - known[0] < ROLE_S:
            return known[1]
        routers = {
            peer.router
            for peer in self.book.alive(now, CANDIDATE_S)
            if peer.data_centre == centre and not peer.leaving
        }
        if centre == self._centre:
            names = self._heard_collectors(routers, now)
        else:
            names = collectors(routers, centre)
        self._roles[centre] = (now, names)
        return names

    def _heard_collectors(
        self, routers: set[RouterName], now: float
    ) -> tuple[RouterName, ...]:
        """Return the collectors here, passing over those that have fallen silent."""
        names: tuple[RouterName, ...] = ()
        routers.add(self._me)
        candidates = frozenset(routers)
        while routers:
            names = collectors(routers, self._centre)
            for name in names:
                self._expected.setdefault(name, now)
            lost = [name for name in names if self._is_lost(name, now)]
            if not lost:
                break
            routers.difference_update(lost)
        for name in self._expected.keys() - set(names):
            if name not in candidates or not self._is_lost(name, now):
                del self._expected[name]
        return names

    def _is_lost(self, router: RouterName, now: float) -> bool:
        at = self._expected.get(router)
        silent = at is not None and now - at >= COLLECTOR_SILENCE_S
        return silent and router != self._me

    def _note_direct(self, router: RouterName, now: float) -> None:
        if router in self._expected:
            self._expected[router] = now

    def is_collector(self, now: float) -> bool:
        """Tell whether this router is a collector of its data centre."""
        return self.relayed and self._me in self.collectors_of(self._centre, now)

    # what goes out

    def complete_report(self, report: PeerReport, now: float) -> PeerReport:
        """Add what depends on the fleet to a report, and remember it."""
        known: list[Member] = []
        if self._greet:
            names = {
                name
                for centre in set(self._greet.values())
                for name in self.collectors_of(centre, now)
            }
            known = [row for row in self.book.members(now) if row.router in names]
        elif not report.sequence % KNOWN_EVERY:
            known = self.book.members(now)
            if len(known) > MOST_KNOWN:
                known = self._random.sample(known, MOST_KNOWN)
        if not self.is_collector(now):  # else they are in its digests
            report = evolve(
                report,
                parts=self._dispatcher.parts.pop_updates(MOST_PARTS),
                suspects=self._dispatcher.suspects.pop_updates(MAX_SUSPECTS, now),
            )
        report = evolve(report, known=tuple(known))
        self._own.note(report)
        self._last = report
        return report

    def receivers(self, seeds: Collection[str], sequence: int, now: float) -> list[str]:
        """Return the hosts that get a report."""
        known = self.book.hosts()
        hosts = set(self._greet)
        self._greet.clear()
        if self.relayed:
            names = self.collectors_of(self._centre, now)
            hosts |= {known[name] for name in names if name in known}
        else:
            hosts |= set(known.values())
        if not known or not sequence % KNOWN_EVERY:
            # Seeds again and again: a split fleet has to meet, and seeds may be stale.
            hosts |= set(seeds)
        hosts.discard(self._host)
        return sorted(hosts)

    def digests(self, now: float) -> list[tuple[Digest, list[str]]]:
        """Return the digests that are due now, each with the hosts that get it."""
        if self._last is None or not self.is_collector(now):
            self._told = 0
            return []
        with_members = not self._told % MEMBERS_EVERY
        self._told += 1
        mine = sum_reports([(self._last, 0.0), *self._near_reports(now)])
        heard = [(row.total, now - row.at) for row in self._fresh_centres(now)]
        fleet = merge([(mine, 0.0), *heard])
        parts = self._dispatcher.parts.pop_updates(MOST_DIGEST_PARTS)
        suspects = self._dispatcher.suspects.pop_updates(MAX_SUSPECTS, now)
        me = member_of(self._last, 0.0)
        everybody = self.book.members(now) if with_members else []
        near = [row for row in everybody if row.data_centre == self._centre]
        return [
            (
                Digest(self._me, self._centre, mine, (me, *near), parts, suspects),
                self._far_collectors(now),
            ),
            (
                Digest(self._me, "", fleet, (me, *everybody), parts, suspects),
                self._followers(now),
            ),
        ]

    def _near_reports(self, now: float) -> list[tuple[PeerReport, float]]:
        return [
            (report, age_s)
            for report, age_s in self.book.own_reports(now, FRESH_S)
            if report.data_centre == self._centre
        ]

    def _fresh_centres(self, now: float) -> list[_Heard]:
        return [row for row in self._centres.values() if row.fresh(now)]

    def _far_collectors(self, now: float) -> list[str]:
        centres = {peer.data_centre for peer in self.book.alive(now)}
        hosts = self.book.hosts()
        names: set[RouterName] = set()
        for centre in centres - {self._centre}:
            # Those that collect there say so; by the book they may be lost already.
            heard = self._centres.get(centre)
            if heard is not None and heard.fresh(now):
                names |= heard.senders.keys()
            names |= set(self.collectors_of(centre, now))
        return sorted(hosts[name] for name in names if name in hosts)

    def _followers(self, now: float) -> list[str]:
        return sorted(
            peer.host
            for peer in self.book.alive(now)
            if peer.data_centre == self._centre
        )

    # what comes in

    def receive_report(self, report: PeerReport, now: float) -> bool:
        """Take a peer's own report; tell whether it is news."""
        is_new = not self.book.knows(report.router)
        if not self.book.receive_report(report, now):
            return False
        self._note_direct(report.router, now)
        self._note_parts(report.parts, now)
        self._note_suspects(report.suspects, now)
        if self.relayed and not self.is_collector(now):
            self._maybe_greet(report, is_new=is_new)
        member = member_id(report.router)
        if not self._covers(member, now):
            self._direct[member] = report.router
            self._dispatcher.receive_load(report.router, report.loads, now)
            self._dispatcher.shares.receive_counts(report.router, report.counts, now)
        return True

    def _maybe_greet(self, report: PeerReport, *, is_new: bool) -> None:
        """Name the collectors to a router that does not know them yet.

        It has just started, or takes this router for one of them.
        """
        near = report.data_centre == self._centre
        if is_new or (near and report.sequence % KNOWN_EVERY):
            self._greet[report.host] = report.data_centre

    def receive_digest(self, digest: Digest, now: float) -> None:
        """Take what a collector tells."""
        for member in digest.members:
            self.book.merge_member(member, now)
        self._note_direct(digest.sender, now)
        self._note_parts(digest.parts, now)
        self._note_suspects(digest.suspects, now)
        if digest.scope == self._centre:
            return
        if digest.scope:
            if self.is_collector(now):
                self._take_centre(digest, now)
        elif not self.is_collector(now) or self._covers_more(digest.total, now):
            self._take_fleet(digest, now)

    def _covers_more(self, total: ReportSum, now: float) -> bool:
        """Tell whether a collector knows more than this one, which has just begun."""
        known = 1 + len(self._near_reports(now))
        known += sum(len(row.total.sequences) for row in self._fresh_centres(now))
        return len(total.sequences) > known

    def _take_centre(self, digest: Digest, now: float) -> None:
        before = self._centres.get(digest.scope)
        senders = {
            name: at
            for name, at in (before.senders.items() if before is not None else ())
            if now - at < FRESH_S
        }
        senders[digest.sender] = now
        self._centres[digest.scope] = _Heard(digest.total, now, senders)
        if self._fleet is not None:
            self._fleet = None
            self._dispatcher.forget_peers({FLEET})
        self._hear(FLEET + digest.scope, digest.total, now)

    def _take_fleet(self, digest: Digest, now: float) -> None:
        self._fleet = _Heard(digest.total, now)
        if self._centres:
            self._dispatcher.forget_peers({FLEET + scope for scope in self._centres})
            self._centres.clear()
        self._hear(FLEET, self._own.subtract_own(digest.total, self._me), now)

    def _hear(self, source: str, total: ReportSum, now: float) -> None:
        twice = self._direct.keys() & total.sequences.keys()
        if twice:
            self._dispatcher.forget_peers({self._direct.pop(row) for row in twice})
        self._dispatcher.receive_load(source, total.loads, now - total.age_s)
        self._dispatcher.shares.receive_counts(source, total.counts, now)

    def _covers(self, member: MemberId, now: float) -> bool:
        """Tell whether a router's report is in a sum that is believed."""
        rows = [*self._centres.values(), *([self._fleet] if self._fleet else [])]
        return any(row.fresh(now) and member in row.total.sequences for row in rows)

    def _note_parts(self, parts: Iterable[tuple[PartId, str]], now: float) -> None:
        relay = self.is_collector(now)
        for part, server in parts:
            if relay:
                self._dispatcher.parts.send(part, server, now)
            else:
                self._dispatcher.parts.note(part, server, now)

    def _note_suspects(self, rows: Iterable[SuspectRow], now: float) -> None:
        if rows:
            relay = self.is_collector(now)
            self._dispatcher.suspects.merge_rows(rows, now, relay=relay)

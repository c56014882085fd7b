"""Decide where a stream that a caller takes up may go on.

Load pattern: after a router or a server ended, its streams are taken up within a tenth
of a second. Going on at another software version gives callers a text of which the
halves don't fit together; refusing all of them makes callers ask for everything again.
So a stream goes on where it began. If nobody knows that, it goes on only if a single
version has served for as long as the stream can be old, as seen by routers that have
watched the servers for that time, and by a read of the store that began after the call
came: a list that may be old proves nothing by what it doesn't name. Routers that were
all lost at once have seen nothing: the version that serves now may have come, or the
other one gone, just before. Then engines are asked what they have cached.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import anyio
import attrs

from fulmarroad.types import RefusalReason
from fulmarroad_serving._catalog import Catalog, ServedRoute, ServiceName
from fulmarroad_serving._served_call import ServedCall
from fulmarroad_serving.streams._engine_evidence import Evidence
from fulmarroad_serving.streams._engine_lists import EngineEvidence
from fulmarroad_serving.streams._keepers import Confirm, StreamKeepers
from fulmarroad_serving.streams._records import (
    MAX_LIFE_S,
    StreamOrigin,
    stream_key,
)
from fulmarroad_serving.streams._version_search import Finding, VersionSearch
from fulmarroad_serving.streams._views import Confirmation

MAX_HOLD_FRACTION = 0.25
"""Part of the time left for which a call is held until its stream is found: the rest is
for going on, or for a try elsewhere."""

RECORD_MARGIN_S = 1.0
"""Time in seconds for which a stream is remembered beyond its caller's deadline."""


_RouteKey = tuple[str, str]
"""Host and path prefix of a route."""

_Services = Mapping[_RouteKey, frozenset[ServiceName]]


@attrs.frozen
class TakeUp:
    """Hold where a stream goes on, or why it can't."""

    origin: StreamOrigin | None = None
    refusal: RefusalReason | None = None
    evidence: Evidence | None = None  # of engines, if they were asked


@attrs.define
class RouteServices:
    """Remember which services routes led to lately, which may have begun streams."""

    _services: dict[_RouteKey, frozenset[ServiceName]] = attrs.field(factory=dict)
    _former: dict[_RouteKey, dict[ServiceName, float]] = attrs.field(factory=dict)

    def note_catalog(self, catalog: Catalog, now: float) -> None:
        """Apply another version of the configuration."""
        before = self._services
        self._services = {
            (route.host, route.path_prefix): services_of(route)
            for route in catalog.routes
        }
        for key in before.keys() | self._services.keys():
            left = _services_before(key, before, self._services)
            self._note_left(key, left - self._services.get(key, frozenset()), now)

    def _note_left(
        self, key: _RouteKey, services: Iterable[ServiceName], now: float
    ) -> None:
        former = self._former.setdefault(key, {})
        former.update(dict.fromkeys(services, now))
        for service, left_at in list(former.items()):
            if now - left_at >= MAX_LIFE_S:
                del former[service]
        if not former:
            del self._former[key]

    def recent(self, route: ServedRoute, now: float) -> frozenset[ServiceName]:
        """Return the services of a route, with those that it left lately."""
        key = (route.host, route.path_prefix)
        former = self._former.get(key, {})
        kept = {name for name, at in former.items() if now - at < MAX_LIFE_S}
        return services_of(route) | self._services.get(key, frozenset()) | kept


def _services_before(
    key: _RouteKey, before: _Services, now: _Services
) -> frozenset[ServiceName]:
    """Return where the calls of a route may have gone before a change.

    A route that is new takes calls over from others, and so does one that stays from
    those that were removed.
    """
    if key in before and before.keys() <= now.keys():
        return before[key]
    sources = before.keys() - now.keys() if key in before else before.keys()
    rows = (before[other] for other in sources if _overlap(key, other))
    return before.get(key, frozenset()).union(*rows)


def _overlap(key: _RouteKey, other: _RouteKey) -> bool:
    """Return whether some calls match the prefixes of both routes."""
    if key[0] != other[0]:
        return False
    return key[1].startswith(other[1]) or other[1].startswith(key[1])


def services_of(route: ServedRoute) -> frozenset[ServiceName]:
    """Return the services to which a route sends calls."""
    return frozenset(row.service for row in route.targets if row.weight > 0)


def decide_take_up(
    finding: Finding,
    services: frozenset[ServiceName],
    recent: frozenset[ServiceName],
    *,
    life_s: float,
) -> TakeUp:
    """Return where a stream goes on that its caller names.

    `services` are those to which its route leads now, `recent` also those to which it
    led lately; `life_s` is the age in seconds that the stream has at most.
    """
    origin = finding.origin
    if origin is not None:
        if origin.service not in services:
            return TakeUp(refusal=RefusalReason.STREAM_ORIGIN_GONE)
        return TakeUp(origin)
    if len(recent) > 1 or len(finding.versions) > 1:
        return TakeUp(refusal=RefusalReason.STREAM_UNKNOWN)
    refusal = _refusal_unless_complete(finding, life_s)
    if refusal is not None:
        return TakeUp(refusal=refusal)
    return TakeUp(next(iter(finding.versions)))


def decide_unnamed(finding: Finding, service: ServiceName, life_s: float) -> TakeUp:
    """Return where a stream goes on whose caller doesn't name it.

    `service` is the one that its call was given. The stream is bound to the version,
    as another one may join while the call waits for a place.
    """
    versions = {row.version for row in finding.versions}
    if len(versions) > 1:
        return TakeUp(refusal=RefusalReason.STREAM_UNKNOWN)
    refusal = _refusal_unless_complete(finding, life_s)
    if refusal is not None:
        return TakeUp(refusal=refusal)
    return TakeUp(StreamOrigin(service, versions.pop()))


def _refusal_unless_complete(finding: Finding, life_s: float) -> RefusalReason | None:
    if finding.is_complete(life_s) and finding.versions:
        return None
    if finding.confirmation is Confirmation.NONE:
        return RefusalReason.STREAM_UNCONFIRMED
    return RefusalReason.STREAM_UNKNOWN


def evidence_name(take_up: TakeUp, finding: Finding) -> str:
    """Return by what a stream was placed, or why engines couldn't tell; "" is nothing.

    It is for log lines.
    """
    if take_up.evidence is not None:
        doubt = take_up.evidence.doubt
        return doubt.value if doubt is not None else "engines"
    if finding.origin is not None:
        return "record"
    return "watched" if take_up.refusal is None else ""


class StreamResumption:
    """Bind calls that take up a stream to where it began."""

    def __init__(
        self,
        keepers: StreamKeepers,
        confirm: Confirm,
        clock: Callable[[], float],
        engines: EngineEvidence | None = None,
        list_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._engines = engines
        self.list_age_s = list_age_s
        self._keepers = keepers
        self._search = VersionSearch(keepers, confirm, clock)
        self._clock = clock
        self._routes = RouteServices()

    def note_catalog(self, catalog: Catalog) -> None:
        """Apply another version of the configuration."""
        self._routes.note_catalog(catalog, self._clock())

    async def find(self, call: ServedCall) -> tuple[TakeUp, Finding]:
        """Return where the stream of a call goes on that takes one up."""
        route = call.route
        services = services_of(route)
        life_s = min(MAX_LIFE_S, route.timeout_s + RECORD_MARGIN_S)
        key = stream_key(call.workspace, route, call.head.resumes)
        asked = self._routes.recent(route, self._clock())
        left_s = call.deadline - self._clock()
        finding = Finding(None, frozenset())
        with anyio.move_on_after(MAX_HOLD_FRACTION * left_s):
            if call.head.resumes:
                finding = await self._search.find_named(key, asked, life_s)
            else:
                finding = await self._search.find_unnamed(key, asked, life_s)
        if not call.head.resumes:
            unnamed = decide_unnamed(finding, call.service, life_s)
            return self._unless_changed(call, asked, unnamed), finding
        take_up = decide_take_up(finding, services, asked, life_s=life_s)
        is_unknown = take_up.refusal is RefusalReason.STREAM_UNKNOWN
        if is_unknown and finding.list_is_complete:
            take_up = await self._ask_engines(call, take_up, services, life_s)
        if finding.origin is not None:
            return take_up, finding
        return self._unless_changed(call, asked, take_up), finding

    def _unless_changed(
        self, call: ServedCall, asked: frozenset[ServiceName], take_up: TakeUp
    ) -> TakeUp:
        """Return a decision unless the route leads to other services by now.

        The configuration that came with a confirmation may be newer than the call's.
        """
        if self._routes.recent(call.route, self._clock()) <= asked:
            return take_up
        return TakeUp(refusal=RefusalReason.STREAM_UNKNOWN)

    async def _ask_engines(
        self,
        call: ServedCall,
        unknown: TakeUp,
        services: frozenset[ServiceName],
        life_s: float,
    ) -> TakeUp:
        """Return where a stream goes on of which no router knows."""
        if self._engines is None:
            return unknown
        evidence = await self._engines.find(call.head, life_s)
        origin = evidence.origin
        if origin is None:
            return attrs.evolve(unknown, evidence=evidence)
        if origin.service not in services:
            return TakeUp(None, RefusalReason.STREAM_ORIGIN_GONE, evidence)
        return TakeUp(origin, evidence=evidence)

    def note_begun(self, call: ServedCall, version: str, now: float) -> None:
        """Remember where a stream began, just before its first event is sent."""
        if not call.route.resumable or not version:
            return
        # A stream is always named by the call that brought its first event.
        first = call.head.resumes or call.head.request_id
        key = stream_key(call.workspace, call.route, first)
        life_s = max(0.0, call.deadline - now) + RECORD_MARGIN_S
        self._keepers.note_begun(key, StreamOrigin(call.service, version), life_s)

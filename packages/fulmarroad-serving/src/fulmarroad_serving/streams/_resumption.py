"""Decide where a stream that a caller takes up may go on.

Load pattern: after a router or a server ended, its streams are taken up within a tenth
of a second. Going on at another software version gives callers a text of which the
halves don't fit together; refusing all of them makes callers ask for everything again.
So a stream goes on where it began. If nobody knows that, it goes on only if a single
version has served for as long as the stream can be old, as seen by a router that has
watched the servers for that time. Routers that were all lost at once have seen nothing:
the version that serves now may have come, or the other one gone, just before. Then
engines are asked what they have cached.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fulmarroad.types import RefusalReason
from fulmarroad_serving._catalog import Catalog, ServedRoute, ServiceName
from fulmarroad_serving._served_call import ServedCall
from fulmarroad_serving.streams._engine_evidence import Evidence
from fulmarroad_serving.streams._engine_lists import EngineEvidence
from fulmarroad_serving.streams._keepers import Finding, StreamKeepers
from fulmarroad_serving.streams._list_watch import MAX_LIST_AGE_S
from fulmarroad_serving.streams._records import (
    MAX_LIFE_S,
    StreamOrigin,
    stream_key,
)

RECORD_MARGIN_S = 1.0
"""Time in seconds for which a stream is remembered beyond its caller's deadline."""


_RouteKey = tuple[str, str]
"""Host and path prefix of a route."""


@attrs.frozen
class TakeUp:
    """Hold where a stream goes on, or why it can't; both unset: anywhere."""

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
        before, self._services = self._services, {}
        for route in catalog.routes:
            key, services = (route.host, route.path_prefix), services_of(route)
            self._services[key] = services
            for service in before.get(key, services) - services:
                self._former.setdefault(key, {})[service] = now
        for key in self._former.keys() - self._services.keys():
            del self._former[key]

    def recent(self, route: ServedRoute, now: float) -> frozenset[ServiceName]:
        """Return the services of a route, with those that it left lately."""
        former = self._former.get((route.host, route.path_prefix), {})
        kept = {name for name, at in former.items() if now - at < MAX_LIFE_S}
        return services_of(route) | kept


def services_of(route: ServedRoute) -> frozenset[ServiceName]:
    """Return the services to which a route sends calls."""
    return frozenset(row.service for row in route.targets if row.weight > 0)


def decide_take_up(
    finding: Finding,
    services: frozenset[ServiceName],
    recent: frozenset[ServiceName],
    *,
    list_is_current: bool,
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
    is_watched = list_is_current and finding.watched_s >= life_s
    if len(recent) == 1 and len(finding.versions) <= 1 and is_watched:
        return TakeUp(next(iter(finding.versions), None))
    return TakeUp(refusal=RefusalReason.STREAM_UNKNOWN)


def decide_unnamed(finding: Finding, life_s: float) -> TakeUp:
    """Return where a stream goes on whose caller doesn't name it."""
    services = {row.service for row in finding.versions}
    if len(finding.versions) > len(services) or finding.watched_s < life_s:
        return TakeUp(refusal=RefusalReason.STREAM_UNKNOWN)
    return TakeUp()


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
        list_age_s: Callable[[], float],
        clock: Callable[[], float],
        engines: EngineEvidence | None = None,
    ) -> None:
        self._engines = engines
        self._keepers = keepers
        self._list_age_s = list_age_s
        self._clock = clock
        self._routes = RouteServices()

    def note_catalog(self, catalog: Catalog) -> None:
        """Apply another version of the configuration."""
        self._routes.note_catalog(catalog, self._clock())

    def list_age_s(self) -> float:
        """Return the age in seconds of the list of servers that decides now."""
        return self._list_age_s()

    async def find(self, call: ServedCall) -> tuple[TakeUp, Finding]:
        """Return where the stream of a call goes on that takes one up."""
        services = services_of(call.route)
        recent = self._routes.recent(call.route, self._clock())
        life_s = min(MAX_LIFE_S, call.route.timeout_s + RECORD_MARGIN_S)
        key = stream_key(call.workspace, call.route, call.head.resumes)
        if not call.head.resumes:
            finding = await self._keepers.find_versions(key, services, life_s)
            return decide_unnamed(finding, life_s), finding
        finding = await self._keepers.find(key, recent)
        current = self._list_age_s() <= MAX_LIST_AGE_S
        take_up = decide_take_up(
            finding, services, recent, list_is_current=current, life_s=life_s
        )
        is_unknown = take_up.refusal is RefusalReason.STREAM_UNKNOWN
        if not is_unknown or not current:
            return take_up, finding
        return await self._ask_engines(call, take_up, services, life_s), finding

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

"""Decide which optional features a service uses, from its configuration.

Load pattern: engines that begin only a few long prompts within an objective, under a
demand that they can't always carry. There it matters which call goes first, when a
refused caller returns, and how fast an engine is now. Where an engine begins many
prompts within an objective, or objectives are too short to wait, none of this pays.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

from attrs import field, fields, frozen

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_serving._catalog import CallKind, Catalog, ServiceName

LONG_PROMPT_UNITS = 15_000.0
"""Units of service of a long prompt."""

MAX_LONG_PROMPTS = 2.0
"""Long prompts that an engine begins within an objective if engines are scarce. With
more, the order of the calls in its queue hardly matters."""

MIN_OBJECTIVE_S = 0.75
"""Shortest objective that leaves time to wait for a place after reading a long prompt
and the exchange with the owner of the servers."""


AUTO_FEATURES = frozenset({"admission_queue", "scheduled_retries", "answer_lengths"})
"""Features that `auto` turns on where engines are scarce; the others have to be set to
`on`."""


class FeatureMode(enum.StrEnum):
    """Define whether a feature follows the configuration."""

    AUTO = "auto"  # on where engines are scarce, if it is one of `AUTO_FEATURES`
    ON = "on"
    OFF = "off"


@frozen
class Features:
    """Hold which features are in force for a service."""

    admission_queue: bool = False
    scheduled_retries: bool = False
    answer_lengths: bool = False
    engine_speeds: bool = False
    weighted_parts: bool = False  # needs engine_speeds
    spillover: bool = False


@frozen
class FeatureSettings:
    """Hold the mode of each feature, by its name in `Features`."""

    modes: Mapping[str, FeatureMode] = field(factory=dict)

    def resolve(self, *, scarce: bool) -> Features:
        """Return the features in force for a service with or without scarce engines."""
        names = [row.name for row in fields(Features)]
        modes = {name: self.modes.get(name, FeatureMode.AUTO) for name in names}
        on = {
            name
            for name, mode in modes.items()
            if mode is FeatureMode.ON
            or (mode is FeatureMode.AUTO and scarce and name in AUTO_FEATURES)
        }
        return Features(**{name: name in on for name in names})


def parse_features(text: str) -> FeatureSettings:
    """Read `name=mode` pairs that are separated by commas.

    Raises `ConfigurationError` for an unknown name or mode.
    """
    known = [row.name for row in fields(Features)]
    modes = {}
    for pair in filter(None, (part.strip() for part in text.split(","))):
        name, _, mode = pair.partition("=")
        if name not in known or mode not in list(FeatureMode):
            raise ConfigurationError(
                f"{pair!r} is not a feature and its mode.",
                hint=f"Use one of {', '.join(known)} with =auto, =on or =off.",
            )
        modes[name] = FeatureMode(mode)
    return FeatureSettings(modes)


def has_scarce_engines(catalog: Catalog, service: ServiceName, engines: int) -> bool:
    """Return whether a service's engines begin few long prompts within an objective.

    `engines` is the number of engines that share the stated capacity.
    """
    row = catalog.services.get(service)
    stated = catalog.limits.units_per_s
    if row is None or row.engine is None or not stated or not engines:
        return False
    objective_s = max(
        (
            route.objective_s
            for route in catalog.routes
            if route.kind is CallKind.STREAM
            and any(target.service == service for target in route.targets)
        ),
        default=0.0,
    )
    if objective_s < MIN_OBJECTIVE_S:
        return False
    return stated / engines * objective_s <= MAX_LONG_PROMPTS * LONG_PROMPT_UNITS


@frozen
class _Resolved:
    catalog_version: int
    engines: int
    features: Features


class FeatureBook:
    """Hold the features in force for each service."""

    def __init__(self, settings: FeatureSettings | None = None) -> None:
        self._settings = settings or FeatureSettings()
        self._resolved: dict[ServiceName, _Resolved] = {}

    def features(
        self, catalog: Catalog, service: ServiceName, engines: int
    ) -> Features:
        """Return the features in force for a service.

        The largest number of engines seen since the start counts, so a crash of some
        changes nothing.
        """
        known = self._resolved.get(service)
        most = known.engines if known is not None else 0
        same = known is not None and known.catalog_version == catalog.version
        if known is not None and same and engines <= most:
            return known.features
        engines = max(engines, most)
        scarce = has_scarce_engines(catalog, service, engines)
        features = self._settings.resolve(scarce=scarce)
        self._resolved[service] = _Resolved(catalog.version, engines, features)
        return features

"""Tests of the features that a service's configuration calls for."""

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_serving import (
    CallerLimits,
    CallKind,
    Catalog,
    EngineProfile,
    FeatureSettings,
    ServedRoute,
    Service,
    Target,
    parse_features,
)
from fulmarroad_serving._features import FeatureBook, has_scarce_engines


def catalog(units_per_s, objective_s, version=1):
    route = ServedRoute(
        "draft",
        "svc.example",
        "/draft/",
        CallKind.STREAM,
        (Target("drafting"),),
        timeout_s=8.0,
        objective_s=objective_s,
    )
    return Catalog(
        version,
        (route,),
        {"drafting": Service("drafting", engine=EngineProfile(64))},
        limits=CallerLimits(units_per_s=units_per_s),
    )


class TestScarcity:
    @pytest.mark.parametrize(
        ("units_per_s", "objective_s", "scarce"),
        [
            (25_000.0, 1.0, True),
            (25_000.0, 0.5, False),  # too short to wait
            (50_000.0, 1.0, False),  # an engine begins many prompts within it
            (0.0, 1.0, False),  # no stated capacity
        ],
    )
    def test_scarcity_follows_from_the_stated_capacity(
        self, units_per_s, objective_s, scarce
    ):
        stated = catalog(40 * units_per_s, objective_s)
        assert has_scarce_engines(stated, "drafting", 40) is scarce

    def test_a_plain_service_has_no_scarce_engines(self):
        assert not has_scarce_engines(catalog(1e6, 1.0), "ledger", 40)


class TestFeatureBook:
    def test_a_crash_of_engines_does_not_switch_features(self):
        """Guard against features that go off while fewer engines are left."""
        book, stated = FeatureBook(), catalog(40 * 25_000.0, 1.0)
        assert book.features(stated, "drafting", 40).admission_queue
        assert book.features(stated, "drafting", 20).admission_queue

    def test_another_version_of_the_configuration_is_looked_at(self):
        book = FeatureBook()
        assert book.features(catalog(1e6, 1.0), "drafting", 40).answer_lengths
        assert not book.features(catalog(4e6, 1.0, 2), "drafting", 40).answer_lengths


class TestSettings:
    def test_modes_override_the_configuration(self):
        settings = parse_features("spillover=on, admission_queue=off")
        features = settings.resolve(scarce=False)
        assert features.spillover
        assert not settings.resolve(scarce=True).admission_queue
        assert settings.resolve(scarce=True).scheduled_retries

    def test_nothing_is_on_by_default(self):
        assert not any(
            (lambda row: (row.admission_queue, row.spillover, row.engine_speeds))(
                FeatureSettings().resolve(scarce=False)
            )
        )

    @pytest.mark.parametrize("text", ["spillover", "spillover=maybe", "unknown=on"])
    def test_an_unknown_name_or_mode_is_rejected(self, text):
        with pytest.raises(ConfigurationError):
            parse_features(text)

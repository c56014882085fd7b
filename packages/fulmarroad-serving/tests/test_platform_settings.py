"""Parsing of the platform's settings file."""

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_platform.settings import load_settings, read_seeds

TEXT = """
NodeName = "edge-a-1"
Zone = "a"
InternalPortRange = [7400, 7415]
SeedNodes = ["10.1.0.33:8785", "10.2.0.18:8785"]
HeartbeatIntervalMs = 1500
[ListenAddresses]
Frontend = "10.1.0.33:8783"
Readiness = "10.1.0.33:8780"
ControlPlane = "10.1.0.33:8785"
[Limits]
MaxOpenFiles = 4100
[ContractParams]
GracePeriodS = 8
ContactWindowMs = 3000
DrainTimeoutMs = 3000
ConfigApplyMs = 4000
RetryBudgetRatio = 0.2
RetryBurst = 54
[Platform]
Address = "10.200.1.7:8781"
"""

NUMBERS = [
    *("RetryBudgetRatio", "RetryWindowS", "RetryBurst", "WarmupFactor"),
    *("WarmupTolerance", "QuotaPeriodS", "DrainTimeoutMs", "GracePeriodS"),
    "HeartbeatIntervalMs",
]


def with_number(name, text):
    """Return the file with another value of a number."""
    rows = [row for row in TEXT.splitlines() if not row.startswith(name)]
    section = "" if name == "HeartbeatIntervalMs" else "[ContractParams]"
    rows.insert(rows.index(section) + 1, f"{name} = {text}")
    return "\n".join(rows)


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "local.toml"
    file.write_text(TEXT)
    return file


class TestSettings:
    def test_a_valid_file(self, path):
        settings = load_settings(path, 7410)
        serving = settings.serving
        assert (serving.router, serving.data_centre) == ("edge-a-1", "a")
        assert (serving.host, serving.callers_port) == ("10.1.0.33", 8783)
        assert (serving.readiness_port, serving.admin_port) == (8780, 8785)
        assert (serving.peer_port, serving.metrics_port) == (7400, 7410)
        assert serving.seeds == ("10.1.0.33", "10.2.0.18")
        assert serving.bounds.retry_burst == 54
        assert serving.bounds.drain_timeout_s == 3.0
        assert serving.bounds.config_apply_s == 4.0
        assert serving.heartbeat_s == 1.5
        assert (settings.store_host, settings.store_port) == ("10.200.1.7", 8781)

    @pytest.mark.parametrize(
        ("before", "after"),
        [
            ('NodeName = "edge-a-1"', ""),
            ("10.1.0.33:8783", "10.1.0.33"),
            ("GracePeriodS = 8", 'GracePeriodS = "soon"'),
            ("[Platform]", "[Platform"),
        ],
    )
    def test_an_invalid_file_raises_configuration_error(self, path, before, after):
        path.write_text(TEXT.replace(before, after))
        with pytest.raises(ConfigurationError):
            load_settings(path, 7410)

    @pytest.mark.parametrize(
        "odd",
        ["nan", "inf", "-inf", "-1", "1e300", "1" * 400, "true", "[]", "9" * 5_000],
    )
    @pytest.mark.parametrize("name", NUMBERS)
    def test_a_number_out_of_range_raises_configuration_error(self, path, name, odd):
        """Guard against a bound that no router can keep, or that ends its tasks."""
        path.write_text(with_number(name, odd))
        with pytest.raises(ConfigurationError) as failure:
            load_settings(path, 7410)
        assert len(failure.value.message) < 500

    @pytest.mark.parametrize("name", ["RetryWindowS", "QuotaPeriodS", *NUMBERS[-1:]])
    def test_a_period_of_no_length_raises_configuration_error(self, path, name):
        """Guard against rates over no time."""
        path.write_text(with_number(name, "0"))
        with pytest.raises(ConfigurationError):
            load_settings(path, 7410)

    @pytest.mark.parametrize("port", ["-1", "65535", "1e3", "nan", '"x"', "9" * 400])
    def test_an_odd_port_raises_configuration_error(self, path, port):
        """Guard against a port that can't be bound, or the one behind it."""
        path.write_text(TEXT.replace("7400", port))
        with pytest.raises(ConfigurationError):
            load_settings(path, 7410)

    @pytest.mark.parametrize(
        "odd",
        [
            *("7", "true", "nan", "[7]", "{a = 1}", '["a"]', '["127.0.0.1:99999"]'),
            "[" * 3_000 + "]" * 3_000,
            "[" + "9" * 5_000 + "]",
        ],
    )
    def test_odd_seeds_raise_what_a_reload_expects(self, path, odd):
        """Guard against a changed file that ends the process at the signal."""
        path.write_text(TEXT.replace('["10.1.0.33:8785", "10.2.0.18:8785"]', odd))
        with pytest.raises((ValueError, TypeError, AttributeError, RecursionError)):
            read_seeds(path)
        with pytest.raises(ConfigurationError):
            load_settings(path, 7410)

    def test_seeds_are_read_from_a_changed_file(self, path):
        path.write_text(TEXT.replace("10.2.0.18", "10.3.0.4"))
        assert read_seeds(path) == ("10.1.0.33", "10.3.0.4")

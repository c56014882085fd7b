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

    def test_seeds_are_read_from_a_changed_file(self, path):
        path.write_text(TEXT.replace("10.2.0.18", "10.3.0.4"))
        assert read_seeds(path) == ("10.1.0.33", "10.3.0.4")

"""Dependencies, start command and imports of a router on the platform."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[3]
RELOAD_DURING_IMPORTS = """
import os, signal, sys

class Reloading:
    def find_spec(self, name, path=None, target=None):
        if name == "fulmarroad_platform":
            os.kill(os.getpid(), signal.SIGHUP)

sys.path.insert(0, "deploy")
sys.meta_path.insert(0, Reloading())
import router
print("alive")
"""

UNNEEDED_MODULES = (
    "grpc",
    "cattrs",
    "statsd",
    "fire",
    "matplotlib",
    "httpcore",
    "fulmarroad.tables",
    "fulmarroad.messages",
    "fulmarroad._messages",
    "fulmarroad_router.settings",
)


def run(*arguments, **environment):
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin", **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


class TestBuild:
    def test_deployed_versions_are_the_tested_ones(self):
        deployed = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        tested = (ROOT / "constraints.txt").read_text().splitlines()
        assert set(deployed) <= set(tested)

    def test_the_start_command_names_an_existing_program(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["router"]["run"].split()
        assert (ROOT / words[1]).is_file()
        assert deploy["roles"]["router"]["metrics"].startswith(f"{words[2]}/")


class TestStart:
    def test_a_serving_router_loads_only_what_it_needs(self):
        """A router's memory has a cost on every VM, and importing the other daemon's
        transport would add a third to it. Each import also delays readiness when
        hundreds of routers start at once.
        """
        code = (
            "import sys; sys.path.insert(0, 'deploy'); import router; "
            f"print([name for name in {UNNEEDED_MODULES!r} if name in sys.modules])"
        )
        done = run("-c", code)
        assert done.stdout.strip() == "[]", done.stderr

    def test_a_reload_during_the_start_does_not_end_the_process(self):
        """Guard against a router that ends as its settings change while it starts."""
        done = run("-c", RELOAD_DURING_IMPORTS)
        assert done.stdout.strip() == "alive", done.returncode

    def test_an_invalid_settings_file_reports_the_missing_field(self, tmp_path):
        path = tmp_path / "local.toml"
        path.write_text('NodeName = "a"\n')
        done = run("deploy/router.py", "7410", FULMARROAD_BOOT=str(path))
        assert done.returncode == 2
        assert "ListenAddresses" in done.stderr

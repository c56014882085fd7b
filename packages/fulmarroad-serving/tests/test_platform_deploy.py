"""What is built and started on the platform."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[3]
HEAVY = (
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
    def test_the_same_versions_are_deployed_as_tested(self):
        deployed = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        tested = (ROOT / "constraints.txt").read_text().splitlines()
        assert set(deployed) <= set(tested)

    def test_the_program_that_is_run_exists(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["router"]["run"].split()
        assert (ROOT / words[1]).is_file()
        assert deploy["roles"]["router"]["metrics"].startswith(f"{words[2]}/")


class TestStart:
    def test_a_serving_router_loads_only_what_it_needs(self):
        """A router's memory is paid for on every VM. An import of the other daemon's
        transport would add a third to it, unnoticed. Its start is paid for as well: of
        hundreds of routers that start at once, each is ready later by what it loads.
        """
        code = (
            "import sys; sys.path.insert(0, 'deploy'); import router; "
            f"print([name for name in {HEAVY!r} if name in sys.modules])"
        )
        done = run("-c", code)
        assert done.stdout.strip() == "[]", done.stderr

    def test_settings_that_cannot_be_read_are_named(self, tmp_path):
        path = tmp_path / "local.toml"
        path.write_text('NodeName = "a"\n')
        done = run("deploy/router.py", "7410", FULMARROAD_BOOT=str(path))
        assert done.returncode == 2
        assert "ListenAddresses" in done.stderr

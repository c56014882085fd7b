"""Test how `KNOWN-RED.txt` is parsed and applied to a pytest run."""

import sys
from subprocess import run

import pytest

from fulmarroad_bench.known_red import Entry, KnownRedError, read_entries

ENTRY = """
test: test_it.py::test_books
command: make test (seed 7)
seen: a call is booked twice
issue: Calls that run twice
"""

FAILS = "def test_books():\n    assert 1 == 2\n"
PASSES = "def test_books():\n    assert 1 == 1\n"
SKIPS = "import pytest\n\n\ndef test_books():\n    pytest.skip('not now')\n"
MARKED = "import pytest\n\n\n@pytest.mark.xfail\ndef test_books():\n    assert 0\n"
FAILS_IN_SET_UP = (
    "import pytest\n\n\n@pytest.fixture\ndef shop():\n    raise OSError\n\n\n"
    "def test_books(shop):\n    pass\n"
)


def run_pytest(folder, test, listed=ENTRY, *arguments):
    """Run pytest on a project with one test file; return exit code and output."""
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = .\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "test_it.py").write_text(test)
    plugin = ["-p", "fulmarroad_bench.known_red", "-p", "no:cacheprovider"]
    command = [sys.executable, "-m", "pytest", *plugin, *arguments]
    done = run(command, cwd=folder, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


class TestReadEntries:
    def test_an_entry_has_four_fields(self):
        assert read_entries("# first work next time\n" + ENTRY) == (
            Entry(
                "test_it.py::test_books",
                "make test (seed 7)",
                "a call is booked twice",
                "Calls that run twice",
            ),
        )

    def test_an_empty_list_has_no_entries(self):
        assert read_entries("") == ()

    @pytest.mark.parametrize(
        "text",
        [
            ENTRY.replace("issue: Calls that run twice\n", ""),
            ENTRY.replace("a call is booked twice", ""),
            ENTRY + "reason: none\n",
            ENTRY + "test: test_it.py::test_other\n",
            ENTRY + ENTRY,
        ],
    )
    def test_an_invalid_entry_is_an_error(self, text):
        with pytest.raises(KnownRedError):
            read_entries(text)


class TestRuns:
    def test_a_listed_test_that_fails_is_printed(self, tmp_path):
        code, text = run_pytest(tmp_path, FAILS)
        assert code == 0
        assert "a call is booked twice" in text
        assert "make test (seed 7) [Calls that run twice]" in text

    def test_an_unlisted_test_that_fails_fails_the_run(self, tmp_path):
        other = FAILS + "\n\ndef test_posts():\n    assert 0\n"
        code, text = run_pytest(tmp_path, other)
        assert code == 1
        assert "test_posts" in text

    @pytest.mark.parametrize("test", [PASSES, SKIPS, MARKED])
    def test_an_entry_whose_test_does_not_fail_is_an_error(self, tmp_path, test):
        """Guard against entries that stay after their fault was fixed. A return of the
        fault would then not fail the run.
        """
        code, text = run_pytest(tmp_path, test)
        assert code == 1
        assert "Remove its entry" in text

    def test_a_listed_test_whose_fixture_fails_is_an_error(self, tmp_path):
        """Guard against tolerating a failed set-up. The listed test itself did not run,
        so this is not the failure that the entry allows.
        """
        code, _ = run_pytest(tmp_path, FAILS_IN_SET_UP)
        assert code == 1

    def test_a_listed_test_that_does_not_exist_is_an_error(self, tmp_path):
        code, text = run_pytest(tmp_path, PASSES.replace("books", "posts"))
        assert code == 4
        assert "don't exist" in text

    def test_a_run_of_other_files_ignores_the_entry(self, tmp_path):
        (tmp_path / "test_more.py").write_text("def test_more():\n    pass\n")
        code, _ = run_pytest(tmp_path, FAILS, ENTRY, "test_more.py")
        assert code == 0

    def test_an_invalid_list_aborts_the_run(self, tmp_path):
        code, text = run_pytest(tmp_path, PASSES, "test test_it.py\n")
        assert code == 4
        assert "KNOWN-RED.txt: Write each of" in text

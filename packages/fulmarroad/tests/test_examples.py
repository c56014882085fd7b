"""Tests that the examples run and print the documented results."""

import runpy
from pathlib import Path

EXAMPLES = Path(__file__).parents[3] / "examples"


class TestFairQueue:
    def test_double_weight_is_served_twice_as_often(self, capsys):
        runpy.run_path(str(EXAMPLES / "fair_queue.py"))
        served = [line.split("-")[0] for line in capsys.readouterr().out.split()]
        assert (served.count("small"), served.count("large")) == (4, 2)


class TestReadme:
    def test_readme_example_prints_the_result(self, capsys):
        text = (EXAMPLES.parent / "README.md").read_text()
        code = text.split("```python\n")[1].split("```")[0]
        exec(compile(code, "README.md", "exec"), {})
        assert capsys.readouterr().out.strip() == "large"

"""Write the results of simulated days as an HTML page with plots."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from fulmarroad_bench._lab_day import SimulatedDay, worth  # noqa: E402
from fulmarroad_bench._lab_traffic import Workload  # noqa: E402

WINDOW_S = 2.0
COLUMNS = ("policy", "seed", "calls", "worth", "on_time", "late", "refused")
FRAME = """<!doctype html><meta charset="utf-8"><title>Placement policies</title>
<style>body{{font:14px sans-serif;margin:2em}}td,th{{padding:2px 10px;text-align:right}}
</style><h1>Placement policies</h1>{body}"""


def write_report(
    directory: Path,
    workload: Workload,
    days: Sequence[SimulatedDay],
    rows: Sequence[Mapping[str, Any]],
) -> Path:
    """Write `report.html` to a directory and return its path."""
    directory.mkdir(parents=True, exist_ok=True)
    body = _table_html(rows, (*COLUMNS, "read_again_part"))
    first = [day for day in days if day.seed == days[0].seed]
    body += _image_html(_plot_worth(workload, first)) + _image_html(
        _plot_engines(first)
    )
    for part in ("by_class", "by_workspace"):
        names = sorted({name for row in rows for name in row[part]})
        flat = [{"policy": row["policy"], **row[part]} for row in rows]
        body += f"<h2>Worth {part.replace('_', ' ')}</h2>"
        body += _table_html(flat, ("policy", *names))
    path = directory / "report.html"
    path.write_text(FRAME.format(body=body))
    return path


def _table_html(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in columns)
    lines = [
        "".join(f"<td>{html.escape(str(row.get(name, '')))}</td>" for name in columns)
        for row in rows
    ]
    body = "".join(f"<tr>{line}</tr>" for line in lines)
    return f"<table><tr>{head}</tr>{body}</table>"


def _plot_worth(workload: Workload, days: Sequence[SimulatedDay]) -> Figure:
    figure, axes = plt.subplots(figsize=(9, 4))
    for day in days:
        windows = defaultdict(list)
        for row in day.outcomes:
            windows[int(row.call.arrived / WINDOW_S)].append(row)
        times = sorted(windows)
        values = [worth(workload, windows[time]) for time in times]
        axes.plot([time * WINDOW_S for time in times], values, label=day.policy)
    axes.set_xlabel("second of arrival")
    axes.set_ylabel("part of worth")
    axes.legend()
    return figure


def _plot_engines(days: Sequence[SimulatedDay]) -> Figure:
    figure, (queue, memory) = plt.subplots(1, 2, figsize=(9, 3.5))
    for day in days:
        times = [row[0] for row in day.samples]
        queue.plot(times, [row[1] for row in day.samples], lw=0.8, label=day.policy)
        memory.plot(times, [row[2] for row in day.samples], lw=0.8)
    queue.set_ylabel("calls waiting in engines")
    memory.set_ylabel("part of engines' memory")
    queue.legend(fontsize=7)
    return figure


def _image_html(figure: Figure) -> str:
    data = io.BytesIO()
    figure.tight_layout()
    figure.savefig(data, format="png", dpi=100)
    plt.close(figure)
    text = base64.b64encode(data.getvalue()).decode()
    return f'<p><img src="data:image/png;base64,{text}"></p>'

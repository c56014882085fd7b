"""Plot the course of a run as PNG files."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from fulmarroad_bench._measures import Run, service_events  # noqa: E402

Mark = tuple[float, str]
MAX_PLOTTED_WORKSPACES = 16


def draw(run: Run, marks: Sequence[Mark], directory: Path) -> list[Path]:
    """Plot service, running requests and latency over time; return the file paths.

    Each mark is a monotonic time and a label, drawn as a vertical line.
    """
    paths = []
    for name, draw_plot in (
        ("service", _plot_service),
        ("running", _plot_running),
        ("latency", _plot_latency),
    ):
        figure, axes = plt.subplots(figsize=(9, 4.5))
        draw_plot(run, axes)
        for at, kind in marks:
            axes.axvline(at - run.start, color="grey", lw=0.7, ls=":")
            axes.annotate(
                kind,
                (at - run.start, 0.98),
                rotation=90,
                fontsize=6,
                xycoords=("data", "axes fraction"),
                va="top",
            )
        axes.set_xlabel("seconds of the measured time")
        figure.tight_layout()
        path = directory / f"{name}.png"
        figure.savefig(path, dpi=110)
        plt.close(figure)
        paths.append(path)
    return paths


def _plot_service(run: Run, axes: Axes) -> None:
    by_workspace: dict[str, list[tuple[float, float]]] = {}
    for event in service_events(run):
        pairs = by_workspace.setdefault(event.workspace, [])
        pairs.append((event.at - run.start, event.service))
    for name, pairs in sorted(by_workspace.items())[:MAX_PLOTTED_WORKSPACES]:
        pairs.sort()
        times = [at for at, _ in pairs]
        axes.plot(times, np.cumsum([value for _, value in pairs]), lw=1, label=name)
    axes.set_ylabel("weighted service units")
    axes.legend(fontsize=6, ncol=2)


def _plot_running(run: Run, axes: Axes) -> None:
    for report in run.engines:
        samples = report["samples"]
        times = [sample[0] - run.start for sample in samples]
        axes.plot(times, [sample[1] for sample in samples], lw=1, label=report["name"])
    axes.set_ylabel("running requests")
    axes.legend(fontsize=6, ncol=2)


def _plot_latency(run: Run, axes: Axes) -> None:
    for outcome, colour in (
        ("completed", "tab:blue"),
        ("refused", "tab:orange"),
        ("unknown", "tab:red"),
        ("cut_off", "black"),
    ):
        found = [r for r in run.results if r.outcome == outcome]
        axes.plot(
            [r.sent_at - run.start for r in found],
            [r.end_at - r.sent_at for r in found],
            ".",
            ms=3,
            color=colour,
            label=f"{outcome} ({len(found)})",
        )
    axes.set_ylabel("seconds from call to end")
    axes.legend(fontsize=7)

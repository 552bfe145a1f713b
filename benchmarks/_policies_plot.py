"""Plots of the comparison of policies."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

FOLDER = Path(__file__).parent.parent / "docs" / "img"
PLOTS = {
    "goodput": "answers whole and in time, over what could be had",
    "ttft_ms_p99": "first token, 99th percentile, ms",
    "prefix_hits": "share of prompt tokens found cached",
}


def plot(results: dict) -> None:
    """Write one plot for each figure in `PLOTS`."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    workloads = results["workloads"]
    for key, label in PLOTS.items():
        fig, ax = plt.subplots(figsize=(10, 4))
        names = list(next(iter(workloads.values())))
        width = 0.8 / len(names)
        for number, policy in enumerate(names):
            positions = [
                position + number * width for position in range(len(workloads))
            ]
            values = [rows[policy][key] for rows in workloads.values()]
            ax.bar(positions, values, width, label=policy)
        ax.set_xticks([position + 0.4 for position in range(len(workloads))])
        ax.set_xticklabels(workloads, rotation=20, ha="right")
        ax.set_ylabel(label)
        if key == "ttft_ms_p99":
            ax.set_yscale("log")
        ax.legend(ncols=3, fontsize="small")
        fig.tight_layout()
        fig.savefig(FOLDER / f"policies-{key.replace('_', '-')}.png", dpi=90)
        plt.close(fig)

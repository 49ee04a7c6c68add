"""Writes benchmark reports as a text table, JSON and plots."""

from __future__ import annotations

import json
import subprocess
from dataclasses import asdict, dataclass, field
from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # renders to files, without a display

import matplotlib.pyplot as plt

from ._runs import Run

__all__ = ["Report", "commit_name", "table_lines", "write_report"]

BASELINES = ("round_robin", "least_loaded", "prefill_first")
TESTED_POLICY = "reserving"


@dataclass(slots=True)
class Report:
    """All runs of one benchmark and the settings they share."""

    commit: str
    seed: int
    seconds: float
    time_scale: float
    started_at: str
    runs: list[Run] = field(default_factory=list)


def commit_name(folder: Path) -> str:
    """Returns the abbreviated commit of the working tree, with ``+changes`` when files differ from it."""
    try:
        name = subprocess.run(
            ["git", "rev-parse", "--short=12", "HEAD"], cwd=folder, capture_output=True, text=True, check=True
        )
        changed = subprocess.run(
            ["git", "status", "--porcelain"], cwd=folder, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return name.stdout.strip() + ("+changes" if changed.stdout.strip() else "")


def table_lines(report: Report) -> list[str]:
    """Returns the report as lines of text."""
    lines = [
        f"commit {report.commit}, seed {report.seed}, {report.seconds:g} s measured per run, "
        f"time scale {report.time_scale:g}, started {report.started_at}",
        f"{'scenario':<14}{'policy':<15}{'goodput':>8}{'per s':>7}{'wasted':>8}{'worst':>7}{'w/mean':>7}"
        f"{'false rej':>10}{'by limit':>9}{'ttft p95':>10}{'gap p95':>9}{'over':>6}{'rep':>4}{'busy':>6}{'load':>6}",
    ]
    for run in report.runs:
        if run.failed:
            lines.append(f"{run.scenario:<14}{run.policy:<15} failed: {run.failed}")
            continue
        row = run.measures
        lines.append(
            f"{run.scenario:<14}{run.policy:<15}{row.goodput_share:>8.1%}{row.goodput_per_s:>7.1f}"
            f"{row.wasted_prefill_share:>8.1%}{row.worst_workspace_share:>7.1%}{row.worst_to_mean:>7.2f}"
            f"{row.false_rejection_share:>10.2%}{row.refused_inside_by_limit:>9}"
            f"{row.first_token_ms.get('p95', 0) / 1000:>8.2f} s{row.token_gap_ms.get('p95', 0):>6.1f} ms"
            f"{row.excess_tokens:>6.0f}{row.bookings_repeated:>4}{run.busy_share:>6.0%}{run.load_average:>6.1f}"
            f"{' disturbed' if run.disturbed else ''}"
        )
    return [*lines, "", *_comparison_lines(report), "", *_breakdown_lines(report)]


def _comparison_lines(report: Report) -> list[str]:
    """Returns, for each scenario, the ratio of the goodput of the tested policy to that of the best baseline."""
    lines = []
    for name in _scenario_names(report):
        runs = [run for run in report.runs if run.scenario == name and not run.failed]
        share_by_policy = {run.policy: run.measures.goodput_share for run in runs}
        baselines = {policy: share for policy, share in share_by_policy.items() if policy in BASELINES}
        if TESTED_POLICY in share_by_policy and baselines:
            best = max(baselines, key=lambda policy: baselines[policy])
            ratio = share_by_policy[TESTED_POLICY] / max(1e-9, baselines[best])
            caveat = "; not valid, the machine was too busy" if any(run.disturbed for run in runs) else ""
            lines.append(
                f"{name}: {TESTED_POLICY} has {ratio:.2f} times the goodput of the best baseline, {best}{caveat}"
            )
    return lines


def _breakdown_lines(report: Report) -> list[str]:
    """Returns the outcome counts of each latency class, to explain differences between policies."""
    lines = []
    for run in report.runs:
        for name, counts in sorted(run.measures.category_counts_by_class.items()):
            words = ", ".join(f"{count} {what}" for what, count in sorted(counts.items()))
            lines.append(f"{run.scenario} {run.policy} {name}: {words}")
    return lines


def _scenario_names(report: Report) -> list[str]:
    return list(dict.fromkeys(run.scenario for run in report.runs))


def write_report(report: Report, folder: Path) -> list[Path]:
    """Writes ``bench.txt``, ``bench.json`` and the plots; returns the paths of the files."""
    folder.mkdir(parents=True, exist_ok=True)
    text, data = folder / "bench.txt", folder / "bench.json"
    text.write_text("\n".join(table_lines(report)) + "\n")
    data.write_text(json.dumps(asdict(report), indent=1))
    files = [text, data]
    for name, title, value in (
        ("goodput", "share of requests within both targets", lambda row: row.goodput_share),
        ("wasted-prefill", "share of prefill tokens never used", lambda row: row.wasted_prefill_share),
        ("worst-workspace", "goodput of the worst-served workspace", lambda row: row.worst_workspace_share),
        ("first-token-p95", "95% quantile of the first token, s", lambda row: row.first_token_ms.get("p95", 0) / 1000),
    ):
        files.append(_plot(report, folder / f"{name}.png", title, value))
    return files


def _plot(report: Report, path: Path, title: str, value: object) -> Path:
    """Writes a bar chart with one group for each scenario and one bar for each policy."""
    scenarios = _scenario_names(report)
    policies = list(dict.fromkeys(run.policy for run in report.runs))
    figure, axes = plt.subplots(figsize=(max(5.0, 1.8 * len(scenarios)), 4.2))
    width = 0.8 / max(1, len(policies))
    for index, policy in enumerate(policies):
        runs = {run.scenario: run for run in report.runs if run.policy == policy and not run.failed}
        positions = [number + index * width for number, name in enumerate(scenarios) if name in runs]
        axes.bar(positions, [value(runs[name].measures) for name in scenarios if name in runs], width, label=policy)
    axes.set_xticks([number + 0.4 - width / 2 for number in range(len(scenarios))], scenarios, rotation=20)
    axes.set_title(f"{title}\ncommit {report.commit}, seed {report.seed}, time scale {report.time_scale:g}", fontsize=9)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
    return path

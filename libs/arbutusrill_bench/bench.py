"""Benchmarks placement policies under load scenarios. Run as ``python -m arbutusrill_bench.bench``."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated

import typer

from ._report import Report, commit_name, table_lines, write_report
from ._runs import RunOptions, run_scenario
from ._scenarios import POLICIES, QUICK_SCENARIOS, SCENARIOS, Scenario
from ._site import interrupt_on_stop_signals
from ._workload import Span

__all__ = ["main"]

_WARM_UP_S = 2.0
_COOL_DOWN_S = 8.0  # equals the longest deadline, so that no measured request is served after the load has ended
_ROOT = Path(__file__).parents[2]


def _select_scenarios(names: list[str], full: bool) -> list[Scenario]:
    scenario_by_name = {scenario.name: scenario for scenario in SCENARIOS}
    if not names:
        names = [name for name in scenario_by_name if name != "smoke"] if full else list(QUICK_SCENARIOS)
    for name in names:
        if name not in scenario_by_name:
            raise typer.BadParameter(f"unknown scenario {name!r}; known are {', '.join(scenario_by_name)}")
    return [scenario_by_name[name] for name in names]


def main(
    full: Annotated[bool, typer.Option("--full", help="run all scenarios")] = False,
    scenario: Annotated[list[str] | None, typer.Option(help="run only these scenarios")] = None,
    policy: Annotated[list[str] | None, typer.Option(help="run only these policies")] = None,
    seed: Annotated[int, typer.Option(help="random seed of the load")] = 1,
    seconds: Annotated[float, typer.Option(help="length of the measurement phase of each run, in seconds")] = 9.0,
    time_scale: Annotated[float, typer.Option(help="factor for all times of the load, engines and targets")] = 1.0,
    out: Annotated[Path, typer.Option(help="directory for the report")] = _ROOT / "out",
) -> None:
    """Runs scenarios under each policy with the same load and writes a table, a JSON file and plots."""
    policies = policy or list(POLICIES)
    for name in policies:
        if name not in POLICIES:
            raise typer.BadParameter(f"unknown policy {name!r}; known are {', '.join(POLICIES)}")
    span = Span(_WARM_UP_S * time_scale, seconds * time_scale, _COOL_DOWN_S * time_scale)
    options = RunOptions(seed, span, time_scale)
    started = time.strftime("%Y-%m-%d %H:%M:%S")
    report = Report(commit_name(_ROOT), seed, span.measured, time_scale, started)
    for selected in _select_scenarios(scenario or [], full):
        typer.echo(f"{selected.name}: {selected.title}", err=True)
        for name in policies:
            started_s = time.monotonic()
            run = run_scenario(selected, name, options)
            report.runs.append(run)
            outcome = run.failed or f"goodput {run.measures.goodput_share:.1%}"
            typer.echo(f"  {name}: {outcome} ({time.monotonic() - started_s:.0f} s)", err=True)
    paths = write_report(report, out)
    typer.echo("\n".join(table_lines(report)))
    typer.echo(f"written: {', '.join(str(path) for path in paths)}", err=True)
    if any(run.failed for run in report.runs):
        raise typer.Exit(1)


if __name__ == "__main__":
    interrupt_on_stop_signals()
    typer.run(main)

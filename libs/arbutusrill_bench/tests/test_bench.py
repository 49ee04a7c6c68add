"""Checks that benchmark reports are complete and consistent; makes no claims about performance."""

import json

from arbutusrill_bench._report import Report, table_lines
from arbutusrill_bench._runs import Run
from arbutusrill_bench._scenarios import SCENARIOS
from arbutusrill_bench.bench import main


def test_smoke_report_is_complete_and_consistent(tmp_path):
    main(scenario=["smoke"], policy=["least_loaded", "reserving"], seed=3, seconds=3.0, out=tmp_path)
    report = json.loads((tmp_path / "bench.json").read_text())
    assert report["seed"] == 3 and report["time_scale"] == 1 and report["commit"]
    assert [run["policy"] for run in report["runs"]] == ["least_loaded", "reserving"]
    offered = set()
    for run in report["runs"]:
        measures = run["measures"]
        offered.add((measures["offered"], measures["plain_offered"]))
        assert sum(measures["category_counts"].values()) == measures["offered"] > 0
        assert measures["good"] == measures["category_counts"].get("good", 0)
        assert "wrong_answer" not in measures["category_counts"] and "no_outcome" not in measures["category_counts"]
        assert measures["refused_inside"] <= measures["offered_inside"] <= measures["offered"]
        assert set(run["engines"]) == {"engine-p1", "engine-d1", "engine-d2"}
        assert measures["prefill_tokens"] > 0 and 0 <= measures["wasted_prefill_share"] <= 1
        assert measures["first_token_ms"]["p50"] <= measures["first_token_ms"]["p99"]
        assert 0 < run["busy_share"] <= 1
    assert len(offered) == 1, "both policies get the same load"
    for name in ("goodput", "wasted-prefill", "worst-workspace", "first-token-p95"):
        assert (tmp_path / f"{name}.png").stat().st_size > 1000
    text = (tmp_path / "bench.txt").read_text()
    assert "seed 3" in text and "time scale 1" in text and "least_loaded" in text


def test_events_refer_to_existing_members():
    """An event for a member that does not exist would turn a fault scenario into a run without faults."""
    for scenario in SCENARIOS:
        engines = {role: sum(runner.role == role for runner in scenario.runners) for role in ("prefill", "decode")}
        known = {f"engine-{role[0]}{number + 1}" for role, count in engines.items() for number in range(count)}
        known |= {f"entry{number + 1}" for number in range(scenario.entries)} | {"control-leader"}
        assert {event.member for event in scenario.events} <= known


def test_comparison_with_a_disturbed_run_is_marked():
    """On an overloaded machine (load average 42 on 10 processors) goodput fell to 6% regardless of the policy."""
    runs = [Run("steady", policy, 1, 9.0, 1.0) for policy in ("round_robin", "reserving")]
    report = Report("c", 1, 9.0, 1.0, "now", runs)
    assert not any("not valid" in line for line in table_lines(report))
    runs[0].disturbed = True
    assert any("not valid" in line for line in table_lines(report))

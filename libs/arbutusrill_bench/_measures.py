"""Computes the measures of one run from its plan and the outcomes of its requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from ._load import Outcome
from ._workload import PlannedRequest, Span, Workload

__all__ = ["Measures", "Targets", "excess_tokens", "inside_rate", "measure", "quantiles_ms"]

_QUANTILES = (50.0, 90.0, 95.0, 99.0)
_OVERLOAD_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class Targets:
    """Latency targets in seconds."""

    first_token_s: float = 2.0
    token_gap_s: float = 0.031


@dataclass(slots=True)
class Measures:
    """Figures of one run. Shares are fractions between 0 and 1; the values of `category_counts` sum to `offered`."""

    offered: int = 0
    good: int = 0
    goodput_share: float = 0.0
    goodput_per_s: float = 0.0
    category_counts: dict[str, int] = field(default_factory=dict)
    category_counts_by_class: dict[str, dict[str, int]] = field(default_factory=dict)
    code_counts: dict[str, int] = field(default_factory=dict)
    prefill_tokens: float = 0.0
    wasted_prefill_share: float = 0.0
    goodput_share_by_workspace: dict[str, float] = field(default_factory=dict)
    worst_workspace_share: float = 0.0
    worst_to_mean: float = 0.0
    offered_inside: int = 0
    refused_inside: int = 0
    refused_inside_by_limit: int = 0
    false_rejection_share: float = 0.0
    first_token_ms: dict[str, float] = field(default_factory=dict)
    token_gap_ms: dict[str, float] = field(default_factory=dict)
    plain_ms: dict[str, float] = field(default_factory=dict)
    plain_offered: int = 0
    plain_whole: int = 0
    bookings_repeated: int = 0
    excess_tokens: float = 0.0
    sent_late_p99_ms: float = 0.0


def category(request: PlannedRequest, outcome: Outcome | None, targets: Targets) -> str:
    """Classifies the outcome of a completion from the caller's point of view.

    A request with a deadline is ``late`` when it is not complete in time, any other when its first token misses the
    target. Both are ``slow`` when the mean gap between tokens exceeds the target; the mean is used so that a single
    late token counts only by how much it delays the whole response.
    """
    if outcome is None:
        return "no_outcome"
    if outcome.wrong:
        return "wrong_answer"
    if outcome.left:
        return "left"
    if outcome.status in _OVERLOAD_STATUSES and outcome.tokens == 0 and not outcome.whole:
        return "refused"
    if not outcome.whole:
        return "broken"
    if request.deadline_s and outcome.end_s > request.deadline_s:
        return "late"
    if not request.deadline_s and outcome.first_s > targets.first_token_s:
        return "late"
    gaps = outcome.gaps_ms
    if gaps and sum(gaps) / len(gaps) > targets.token_gap_s * 1000:
        return "slow"
    return "good"


def inside_rate(requests: list[PlannedRequest], load: Workload) -> set[int]:
    """Returns the numbers of the completions that an ideal token bucket for each workspace would admit."""
    inside: set[int] = set()
    for workspace in load.workspaces:
        rate, burst = load.limit(workspace)
        available_tokens, previous_at = burst, 0.0
        for request in requests:
            if request.workspace != workspace.name or request.kind != "completion":
                continue
            available_tokens = min(burst, available_tokens + rate * (request.at - previous_at))
            previous_at = request.at
            if request.charge <= available_tokens:
                available_tokens -= request.charge
                inside.add(request.number)
    return inside


def excess_tokens(admitted: list[tuple[float, float, int]], rate: float, burst: float) -> float:
    """Returns the largest number of tokens by which a workspace provably exceeded its rate and burst in a window.

    Each request is given by the times at which it was sent and its first token arrived, and its charge. It was
    admitted between the two times, so a window counts only requests sent and answered inside it. Returns 0 when no
    window exceeds the limit.

    >>> excess_tokens([(0.0, 0.1, 500), (0.2, 0.4, 800)], rate=100, burst=1000)
    260.0
    """
    max_excess = 0.0
    by_first_token_time = sorted(admitted, key=lambda row: row[1])
    for start in {row[0] for row in admitted}:
        total = 0
        for sent, first, charge in by_first_token_time:
            if sent >= start:
                total += charge
                max_excess = max(max_excess, total - burst - rate * (first - start))
    return round(max_excess, 6)


def quantiles_ms(values_ms: list[float]) -> dict[str, float]:
    """Returns quantiles from a histogram with 3 significant digits; an empty dictionary without values."""
    if not values_ms:
        return {}
    histogram = HdrHistogram(1, 600_000_000, 3)
    for value in values_ms:
        histogram.record_value(max(1, int(value * 1000)))
    return {f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000 for quantile in _QUANTILES}


def measure(
    load: Workload,
    requests: list[PlannedRequest],
    outcome_by_number: dict[int, Outcome],
    targets: Targets,
    span: Span,
) -> Measures:
    """Computes the measures of the requests planned in the measurement phase."""
    result = Measures()
    inside = inside_rate(requests, load)
    completions = [row for row in requests if row.kind == "completion" and span.is_measured(row.at)]
    category_by_number = {row.number: category(row, outcome_by_number.get(row.number), targets) for row in completions}
    outcomes = [outcome_by_number[number] for number in category_by_number if number in outcome_by_number]
    result.offered = len(completions)
    result.category_counts = dict(Counter(category_by_number.values()))
    for name in {row.latency_class for row in completions}:
        categories = [category_by_number[row.number] for row in completions if row.latency_class == name]
        result.category_counts_by_class[name] = dict(Counter(categories))
    result.code_counts = dict(Counter(row.code or row.error for row in outcomes if row.code or row.error))
    result.good = result.category_counts.get("good", 0)
    result.goodput_share = result.good / max(1, result.offered)
    result.goodput_per_s = result.good / span.measured
    result.first_token_ms = quantiles_ms([row.first_s * 1000 for row in outcomes if row.first_s >= 0])
    result.token_gap_ms = quantiles_ms([gap for row in outcomes for gap in row.gaps_ms])
    result.sent_late_p99_ms = quantiles_ms([row.late_s * 1000 for row in outcomes]).get("p99", 0.0)
    _set_workspace_shares(result, load, completions, category_by_number, inside)
    _count_refusals(result, completions, category_by_number, outcome_by_number, inside)
    _measure_plain_calls(result, [row for row in requests if span.is_measured(row.at)], outcome_by_number)
    for workspace in load.workspaces:
        admitted = [
            (row.at, row.at + outcome_by_number[row.number].first_s, row.charge)
            for row in requests
            if row.workspace == workspace.name
            and row.number in outcome_by_number
            and outcome_by_number[row.number].whole
            and row.kind == "completion"
        ]
        result.excess_tokens = max(result.excess_tokens, excess_tokens(admitted, *load.limit(workspace)))
    return result


def _set_workspace_shares(
    result: Measures,
    load: Workload,
    completions: list[PlannedRequest],
    category_by_number: dict[int, str],
    inside: set[int],
) -> None:
    """Sets the goodput share of each workspace, over requests within its rate whose caller did not plan to leave."""
    for workspace in load.workspaces:
        completions_in_rate = [
            row for row in completions if row.workspace == workspace.name and row.number in inside and not row.leave_s
        ]
        if completions_in_rate:
            good = sum(category_by_number[row.number] == "good" for row in completions_in_rate)
            result.goodput_share_by_workspace[workspace.name] = good / len(completions_in_rate)
    within = [workspace.name for workspace in load.workspaces if workspace.factor <= 1]
    shares = [share for name, share in result.goodput_share_by_workspace.items() if name in within]
    if shares:
        result.worst_workspace_share = min(shares)
        result.worst_to_mean = min(shares) / max(1e-9, sum(shares) / len(shares))


def _count_refusals(
    result: Measures,
    completions: list[PlannedRequest],
    category_by_number: dict[int, str],
    outcome_by_number: dict[int, Outcome],
    inside: set[int],
) -> None:
    for row in completions:
        if row.number not in inside:
            continue
        result.offered_inside += 1
        if category_by_number[row.number] == "refused":
            result.refused_inside += 1
            result.refused_inside_by_limit += outcome_by_number[row.number].code == "rate_limited"
    result.false_rejection_share = result.refused_inside / max(1, result.offered_inside)


def _measure_plain_calls(
    result: Measures, requests: list[PlannedRequest], outcome_by_number: dict[int, Outcome]
) -> None:
    plain = [outcome_by_number.get(row.number) for row in requests if row.kind != "completion"]
    result.plain_offered = len(plain)
    result.plain_whole = sum(row is not None and row.whole for row in plain)
    result.plain_ms = quantiles_ms([row.end_s * 1000 for row in plain if row is not None and row.whole])

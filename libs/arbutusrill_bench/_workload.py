"""Generates seeded open-loop load: arrival times are fixed in advance and do not depend on responses."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

__all__ = ["BYTES_PER_TOKEN", "ClassMix", "PlannedRequest", "Span", "Workload", "WorkspaceLoad", "plan", "prompt_text"]

BYTES_PER_TOKEN = 4
_SESSION_WINDOW_HALF_SECONDS = 4
_SESSIONS_PER_WORKSPACE = 24
_FILLER_WORDS = ("stop", "gate", "bus", "left", "seat", "road", "turn", "noon")  # with the space, 1 to 1.25 tokens each


@dataclass(slots=True, frozen=True)
class Span:
    """Lengths of the phases of a load in seconds: warm-up, measurement and cool-down.

    Requests keep arriving during the cool-down, so that queued measured requests compete with later ones. Otherwise a
    policy could improve its figures by deferring work to an idle period at the end of the run.
    """

    warm_up: float
    measured: float
    cool_down: float

    @property
    def end(self) -> float:
        """End of the measurement phase, in seconds from the start of the load."""
        return self.warm_up + self.measured

    def is_measured(self, at: float) -> bool:
        """Returns whether a request sent `at` seconds after the start falls into the measurement phase."""
        return self.warm_up <= at < self.end

    def fraction(self, at: float) -> float:
        """Converts a time to a fraction of the measurement phase: below 0 before it, above 1 after it."""
        return (at - self.warm_up) / self.measured


@dataclass(slots=True, frozen=True)
class ClassMix:
    """Requests of one latency class: fraction of the load, token counts and timeouts.

    The prompt length is log-normal with the given median and 95% quantile. `patience_s` is the time after which a
    caller that has no first token disconnects; `deadline_s` is sent with the request. A class with a deadline has no
    target for its first token: the response must be complete before the deadline.
    """

    name: str
    fraction: float
    prompt_median: int
    prompt_p95: int
    output_tokens: int
    patience_s: float
    deadline_s: float = 0.0


@dataclass(slots=True, frozen=True)
class WorkspaceLoad:
    """Load of one workspace: its fraction of the nominal load, and a factor by which its callers exceed it."""

    name: str
    fraction: float
    factor: float = 1.0


@dataclass(slots=True, frozen=True)
class Workload:
    """Load on one model pool and one plain service. Rates are in requests per second, times in seconds.

    `profile` lists pairs of a time, as a fraction of the measurement phase, and the factor applied to the rate from
    that time on; the first factor also applies before it. `limit_factor` sets each workspace's rate limit to that
    multiple of its fraction of the nominal load in tokens.
    """

    rate: float
    classes: tuple[ClassMix, ...]
    workspaces: tuple[WorkspaceLoad, ...]
    profile: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    plain_rate: float = 6.0
    session_fraction: float = 0.5  # of the requests: those that belong to a session with a shared prefix
    shared_prefix_fraction: float = 0.6  # of the prompt of such a request
    leaving_fraction: float = 0.0
    limit_factor: float = 2.0
    burst_s: float = 10.0  # burst, as the time in which the rate supplies that many tokens

    def mean_tokens(self) -> float:
        """Returns the mean number of tokens charged for a completion."""
        return sum(mix.fraction * (_mean_prompt_tokens(mix) + mix.output_tokens) for mix in self.classes)

    def limit(self, workspace: WorkspaceLoad) -> tuple[float, float]:
        """Returns a workspace's rate limit in tokens per second and its burst in tokens."""
        rate = self.rate * workspace.fraction * self.mean_tokens() * self.limit_factor
        largest = max(mix.prompt_p95 * 2 + mix.output_tokens for mix in self.classes)
        return rate, max(rate * self.burst_s, 2.0 * largest)

    def scaled(self, time_scale: float) -> Workload:
        """Returns the same load with all times multiplied by `time_scale`."""
        classes = tuple(
            replace(mix, patience_s=mix.patience_s * time_scale, deadline_s=mix.deadline_s * time_scale)
            for mix in self.classes
        )
        burst_s = self.burst_s * time_scale
        return replace(
            self, rate=self.rate / time_scale, plain_rate=self.plain_rate / time_scale, classes=classes, burst_s=burst_s
        )


@dataclass(slots=True)
class PlannedRequest:
    """One request of the plan; `at` is its send time in seconds from the start of the load."""

    number: int
    at: float
    kind: str  # completion, booking or lookup
    workspace: str
    latency_class: str = "lookup"
    prompt_tokens: int = 0
    shared_tokens: int = 0
    session: str = ""
    output_tokens: int = 0
    patience_s: float = 5.0
    deadline_s: float = 0.0
    leave_s: float = 0.0  # the caller disconnects after this time even while tokens arrive; 0: never
    entry_choice: float = field(default=0.0)

    @property
    def mark(self) -> str:
        """Text that each token of the response must repeat."""
        return f"q{self.number}"

    @property
    def charge(self) -> int:
        """Number of tokens charged to the workspace at admission."""
        return self.prompt_tokens + self.output_tokens


def plan(workload: Workload, span: Span, seed: int) -> list[PlannedRequest]:
    """Returns the requests of a load in order of arrival; the same seed gives the same plan.

    Each workspace has its own Poisson process, so that the requests of one workspace do not change when another
    workspace sends more.
    """
    requests: list[PlannedRequest] = []
    for workspace in workload.workspaces:
        rng = random.Random(f"{seed}/{workspace.name}")
        rate = workload.rate * workspace.fraction * workspace.factor
        for at in _arrival_times(rng, rate, workload.profile, span):
            requests.append(_plan_completion(workload, workspace.name, at, rng))
        rng = random.Random(f"{seed}/{workspace.name}/plain")
        for at in _arrival_times(rng, workload.plain_rate * workspace.fraction, ((0.0, 1.0),), span):
            kind = "booking" if rng.random() < 0.5 else "lookup"
            requests.append(PlannedRequest(0, at, kind, workspace.name, entry_choice=rng.random()))
    requests.sort(key=lambda request: request.at)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _arrival_times(
    rng: random.Random, rate: float, profile: tuple[tuple[float, float], ...], span: Span
) -> Iterator[float]:
    """Yields the arrival times of a non-homogeneous Poisson process, by thinning one at the highest rate."""
    max_factor = max(factor for _, factor in profile)
    at = 0.0
    while rate > 0:
        at += rng.expovariate(rate * max_factor)
        if at >= span.end + span.cool_down:
            return
        factors = [value for start, value in profile if span.fraction(at) >= start]
        factor = factors[-1] if factors else profile[0][1]
        if rng.random() < factor / max_factor:
            yield at


def _plan_completion(workload: Workload, workspace: str, at: float, rng: random.Random) -> PlannedRequest:
    mix = rng.choices(workload.classes, [mix.fraction for mix in workload.classes])[0]
    sigma = _sigma(mix)
    tokens = int(mix.prompt_median * math.exp(rng.gauss(0, sigma)))
    tokens = max(24, min(tokens, 2 * mix.prompt_p95))
    session, shared = "", 0
    if rng.random() < workload.session_fraction:
        # Each 2 s window has its own sessions, so that several turns of one session arrive close together.
        window_index = int(at * 2) // _SESSION_WINDOW_HALF_SECONDS
        session = f"{workspace}/{mix.name}/{window_index}/{rng.randrange(_SESSIONS_PER_WORKSPACE // 8)}"
        shared = int(tokens * workload.shared_prefix_fraction)
    leave_s = rng.uniform(0.1, 3.0) if rng.random() < workload.leaving_fraction else 0.0
    return PlannedRequest(
        0,
        at,
        "completion",
        workspace,
        mix.name,
        tokens,
        shared,
        session,
        mix.output_tokens,
        mix.patience_s,
        mix.deadline_s,
        leave_s,
        rng.random(),
    )


def _sigma(mix: ClassMix) -> float:
    return math.log(mix.prompt_p95 / mix.prompt_median) / 1.645


def _mean_prompt_tokens(mix: ClassMix) -> float:
    return mix.prompt_median * math.exp(_sigma(mix) ** 2 / 2)


@functools.lru_cache(maxsize=512)
def _filler_text(name: str, tokens: int) -> str:
    rng = random.Random(name)
    words = " ".join(rng.choices(_FILLER_WORDS, k=tokens))
    return words[: tokens * BYTES_PER_TOKEN].ljust(tokens * BYTES_PER_TOKEN, ".")


def prompt_text(request: PlannedRequest, seed: int) -> str:
    """Returns the prompt of a planned request, with `BYTES_PER_TOKEN` bytes per token.

    Requests of one session share a prefix; the mark, which the response repeats, is at the end.

    >>> len(prompt_text(PlannedRequest(7, 0.0, "completion", "w", prompt_tokens=40), 1)) // BYTES_PER_TOKEN
    40
    """
    suffix = f" [[{request.mark}]] "
    unshared_bytes = max(0, (request.prompt_tokens - request.shared_tokens) * BYTES_PER_TOKEN - len(suffix))
    shared = ""
    if request.shared_tokens:
        shared = _filler_text(f"{seed}/{request.session}", 2 ** math.ceil(math.log2(request.shared_tokens)))
    shared = shared[: request.shared_tokens * BYTES_PER_TOKEN]
    return (
        shared
        + _filler_text(f"{seed}/{request.number}", unshared_bytes // BYTES_PER_TOKEN + 1)[:unshared_bytes]
        + suffix
    )

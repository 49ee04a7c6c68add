"""Seeded load: who sends what and when. Arrivals are fixed beforehand and do not wait for answers."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

__all__ = ["BYTES_PER_TOKEN", "ClassMix", "Planned", "Span", "Workload", "WorkspaceLoad", "plan", "prompt_text"]

BYTES_PER_TOKEN = 4
_SESSION_TURNS = 4
_SESSIONS_PER_WORKSPACE = 24
_WORDS = ("stop", "gate", "bus", "left", "seat", "road", "turn", "noon")  # with the space, 1 to 1.25 tokens each


@dataclass(slots=True, frozen=True)
class Span:
    """Times of a load in seconds: a warm-up, the measured time, and a time after it.

    Arrivals go on in the time after it, so that measured requests that wait compete with later ones; without
    that, a policy could put off work to an idle end of the run.
    """

    warm_up: float
    measured: float
    after: float

    @property
    def end(self) -> float:
        """When the measured time ends."""
        return self.warm_up + self.measured

    def measures(self, at: float) -> bool:
        """Says whether a request sent at `at` is measured."""
        return self.warm_up <= at < self.end

    def part(self, at: float) -> float:
        """Returns a moment as a part of the measured time: below 0 before it, above 1 after it."""
        return (at - self.warm_up) / self.measured


@dataclass(slots=True, frozen=True)
class ClassMix:
    """Requests of one latency class: their part, token counts (quantiles of a log-normal) and patience.

    `patience_s` is the time after which a caller without a first token leaves; `deadline_s` is sent with the
    request. A class with a deadline has no target for its first token, only that the answer is whole in time.
    """

    name: str
    part: float
    prompt_median: int
    prompt_p95: int
    output_tokens: int
    patience_s: float
    deadline_s: float = 0.0


@dataclass(slots=True, frozen=True)
class WorkspaceLoad:
    """One workspace: its part of the nominal load, and by how much its callers exceed that part."""

    name: str
    part: float
    factor: float = 1.0


@dataclass(slots=True, frozen=True)
class Workload:
    """A load on one model pool and one plain service. Rates are requests per second, times seconds.

    `profile` lists pairs of the moment, as a part of the measured time, and the factor of the rate from then on;
    the first factor also holds before it.
    `limit_factor` sets each workspace's rate to that multiple of its part of the nominal load in tokens.
    """

    rate: float
    classes: tuple[ClassMix, ...]
    workspaces: tuple[WorkspaceLoad, ...]
    profile: tuple[tuple[float, float], ...] = ((0.0, 1.0),)
    plain_rate: float = 6.0
    shared_part: float = 0.5  # of the requests that belong to a session with a shared prefix
    shared_share: float = 0.6  # of such a prompt that is shared
    leaving_part: float = 0.0
    limit_factor: float = 2.0
    burst_s: float = 10.0  # burst in seconds of the rate

    def mean_tokens(self) -> float:
        """Returns the mean charge of a completion in tokens."""
        return sum(mix.part * (_mean_prompt(mix) + mix.output_tokens) for mix in self.classes)

    def limit(self, workspace: WorkspaceLoad) -> tuple[float, float]:
        """Returns a workspace's rate in tokens per second and its burst in tokens."""
        rate = self.rate * workspace.part * self.mean_tokens() * self.limit_factor
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
class Planned:
    """One request of the plan; `at` is in seconds from the start of the load."""

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
    leave_s: float = 0.0  # the caller leaves then in any case; 0: never
    entry_choice: float = field(default=0.0)

    @property
    def mark(self) -> str:
        """The text that the answer must repeat."""
        return f"q{self.number}"

    @property
    def charge(self) -> int:
        """Tokens charged to the workspace at admission."""
        return self.prompt_tokens + self.output_tokens


def plan(workload: Workload, span: Span, seed: int) -> list[Planned]:
    """Returns the requests of a load in the order of their arrival; the same seed gives the same plan.

    Arrivals are a Poisson process for each workspace, so that one workspace's requests do not change when
    another one sends more.
    """
    requests: list[Planned] = []
    for workspace in workload.workspaces:
        source = random.Random(f"{seed}/{workspace.name}")
        rate = workload.rate * workspace.part * workspace.factor
        for at in _arrivals(source, rate, workload.profile, span):
            requests.append(_completion(workload, workspace.name, at, source))
        source = random.Random(f"{seed}/{workspace.name}/plain")
        for at in _arrivals(source, workload.plain_rate * workspace.part, ((0.0, 1.0),), span):
            kind = "booking" if source.random() < 0.5 else "lookup"
            requests.append(Planned(0, at, kind, workspace.name, entry_choice=source.random()))
    requests.sort(key=lambda request: request.at)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _arrivals(
    source: random.Random, rate: float, profile: tuple[tuple[float, float], ...], span: Span
) -> Iterator[float]:
    """Yields arrival times by thinning a Poisson process of the largest rate."""
    top = max(factor for _, factor in profile)
    at = 0.0
    while rate > 0:
        at += source.expovariate(rate * top)
        if at >= span.end + span.after:
            return
        begun = [value for begin, value in profile if span.part(at) >= begin]
        factor = begun[-1] if begun else profile[0][1]
        if source.random() < factor / top:
            yield at


def _completion(workload: Workload, workspace: str, at: float, source: random.Random) -> Planned:
    mix = source.choices(workload.classes, [mix.part for mix in workload.classes])[0]
    sigma = _sigma(mix)
    tokens = int(mix.prompt_median * math.exp(source.gauss(0, sigma)))
    tokens = max(24, min(tokens, 2 * mix.prompt_p95))
    session, shared = "", 0
    if source.random() < workload.shared_part:
        # A few turns of a session follow each other, then another session takes its number.
        turn = int(at * 2) // _SESSION_TURNS
        session = f"{workspace}/{mix.name}/{turn}/{source.randrange(_SESSIONS_PER_WORKSPACE // 8)}"
        shared = int(tokens * workload.shared_share)
    leave_s = source.uniform(0.1, 3.0) if source.random() < workload.leaving_part else 0.0
    return Planned(
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
        source.random(),
    )


def _sigma(mix: ClassMix) -> float:
    return math.log(mix.prompt_p95 / mix.prompt_median) / 1.645


def _mean_prompt(mix: ClassMix) -> float:
    return mix.prompt_median * math.exp(_sigma(mix) ** 2 / 2)


@functools.lru_cache(maxsize=512)
def _text(name: str, tokens: int) -> str:
    source = random.Random(name)
    words = " ".join(source.choices(_WORDS, k=tokens))
    return words[: tokens * BYTES_PER_TOKEN].ljust(tokens * BYTES_PER_TOKEN, ".")


def prompt_text(request: Planned, seed: int) -> str:
    """Returns the prompt of a planned request, of 4 bytes per token.

    Requests of one session share the beginning of one long text; the mark, which the answer repeats, comes
    at the end.

    >>> len(prompt_text(Planned(7, 0.0, "completion", "w", prompt_tokens=40), 1)) // BYTES_PER_TOKEN
    40
    """
    tail = f" [[{request.mark}]] "
    own = max(0, (request.prompt_tokens - request.shared_tokens) * BYTES_PER_TOKEN - len(tail))
    shared = ""
    if request.shared_tokens:
        shared = _text(f"{seed}/{request.session}", 2 ** math.ceil(math.log2(request.shared_tokens)))
    shared = shared[: request.shared_tokens * BYTES_PER_TOKEN]
    return shared + _text(f"{seed}/{request.number}", own // BYTES_PER_TOKEN + 1)[:own] + tail

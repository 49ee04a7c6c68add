"""Benchmark scenarios: a site, a load and the faults injected during it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._workload import ClassMix, Workload, WorkspaceLoad

__all__ = ["POLICIES", "QUICK_SCENARIOS", "SCENARIOS", "Event", "Runner", "Scenario"]

POLICIES = ("round_robin", "least_loaded", "prefill_first", "reserving")

# A completion of `_DEFAULT_CLASSES` has about 1,100 prompt and 105 output tokens on average. Five decode runners with
# 20 slots, whose token gap with a full batch is 14 ms x 1.86 = 26 ms, generate 3,850 tokens/s; four prefill runners
# process 40,000 tokens/s. 32 requests/s use about 89% of the decode capacity and, without any cached prefix, 76% of the
# prefill capacity.
STEADY_RATE = 32.0

_DEFAULT_CLASSES = (
    ClassMix("lookup", 0.35, 100, 400, 32, patience_s=2.5),
    ClassMix("interactive", 0.50, 600, 2400, 128, patience_s=5.0),
    ClassMix("briefing", 0.15, 3000, 8000, 192, patience_s=8.0, deadline_s=8.0),
)
_LONG_PROMPT_CLASSES = (
    ClassMix("lookup", 0.25, 100, 400, 32, patience_s=2.5),
    ClassMix("interactive", 0.35, 600, 2400, 128, patience_s=5.0),
    ClassMix("briefing", 0.40, 6000, 12000, 192, patience_s=8.0, deadline_s=8.0),
)
_WORKSPACES = (
    WorkspaceLoad("dispatch", 0.40),
    WorkspaceLoad("drivers", 0.30),
    WorkspaceLoad("parents", 0.15),
    WorkspaceLoad("schools", 0.10),
    WorkspaceLoad("office", 0.05),
)
_STEADY_LOAD = Workload(STEADY_RATE, _DEFAULT_CLASSES, _WORKSPACES)


@dataclass(slots=True, frozen=True)
class Runner:
    """One engine of the site; `speed` multiplies its prefill and decode rates."""

    role: str
    speed: float = 1.0


@dataclass(slots=True, frozen=True)
class Event:
    """A fault injected into a member of the site; `at` is a fraction of the measurement phase.

    `action` is ``kill``, ``freeze`` (SIGSTOP) or a kind of fault of the stand-ins; `options` are the parameters of a
    stand-in's fault, of which ``part`` is its duration as a fraction of the measurement phase. The member
    ``control-leader`` is the control VM that is the leader when the fault is injected.
    """

    at: float
    member: str
    action: str
    options: tuple[tuple[str, object], ...] = ()


@dataclass(slots=True, frozen=True)
class Scenario:
    """Members, load and faults of one run; `plain`, `entries` and `controls` are numbers of processes."""

    name: str
    title: str
    load: Workload
    runners: tuple[Runner, ...]
    plain: int = 4
    entries: int = 6
    controls: int = 1
    events: tuple[Event, ...] = field(default=())


def _runners(prefill: tuple[float, ...], decode: tuple[float, ...]) -> tuple[Runner, ...]:
    return tuple(Runner("prefill", speed) for speed in prefill) + tuple(Runner("decode", speed) for speed in decode)


_UNIFORM_RUNNERS = _runners((0.9, 1.0, 1.0, 1.1), (0.9, 1.0, 1.0, 1.0, 1.1))
_MIXED_SPEED_RUNNERS = _runners((0.6, 0.8, 1.2, 1.8), (0.6, 0.8, 1.0, 1.2, 1.8))


def _steady_load_with(**changes: object) -> Workload:
    values = {name: getattr(_STEADY_LOAD, name) for name in Workload.__dataclass_fields__}
    return Workload(**{**values, **changes})


_PEAK_LOAD = _steady_load_with(profile=((-1e9, 1.0), (0.0, 1.5)))
_FAULT_LOAD = _steady_load_with(rate=STEADY_RATE * 0.7)  # leaves capacity for the loss of one runner
_GREEDY_LOAD = _steady_load_with(
    rate=STEADY_RATE * 0.7,
    workspaces=(*_WORKSPACES[:2], WorkspaceLoad("parents", 0.15, 5.0), *_WORKSPACES[3:]),
    limit_factor=1.2,
)

SCENARIOS = (
    Scenario("steady", "steady load near saturation", _STEADY_LOAD, _UNIFORM_RUNNERS),
    Scenario("peak", "morning peak at 1.5 times the steady rate", _PEAK_LOAD, _UNIFORM_RUNNERS),
    Scenario("greedy", "one workspace at 5 times its rate", _GREEDY_LOAD, _UNIFORM_RUNNERS),
    Scenario(
        "long-files",
        "long route files with shared prefixes",
        _steady_load_with(
            rate=STEADY_RATE * 0.45, classes=_LONG_PROMPT_CLASSES, session_fraction=0.8, shared_prefix_fraction=0.8
        ),
        _UNIFORM_RUNNERS,
    ),
    Scenario("mixed-speed", "runners of mixed speed, 3 to 1", _STEADY_LOAD, _MIXED_SPEED_RUNNERS),
    Scenario(
        "decode-killed",
        "a decode runner killed",
        _FAULT_LOAD,
        _UNIFORM_RUNNERS,
        events=(Event(0.4, "engine-d1", "kill"),),
    ),
    Scenario(
        "decode-silent",
        "a decode runner whose open connections go silent",
        _FAULT_LOAD,
        _UNIFORM_RUNNERS,
        events=(Event(0.4, "engine-d1", "silence", (("connections", "existing"),)),),
    ),
    Scenario(
        "decode-slow",
        "a decode runner three times slower for half of the time",
        _FAULT_LOAD,
        _UNIFORM_RUNNERS,
        events=(Event(0.3, "engine-d1", "slow", (("factor", 3.0), ("part", 0.5))),),
    ),
    Scenario("leaving", "10% of the callers leave", _steady_load_with(leaving_fraction=0.1), _UNIFORM_RUNNERS),
    Scenario(
        "entry-killed", "an entry VM killed", _FAULT_LOAD, _UNIFORM_RUNNERS, events=(Event(0.4, "entry2", "kill"),)
    ),
    Scenario(
        "control-cut",
        "the leading control VM cut off silently",
        _FAULT_LOAD,
        _UNIFORM_RUNNERS,
        controls=3,
        events=(Event(0.4, "control-leader", "freeze"),),
    ),
    Scenario("second-site", "9 runners and 3 plain, 8 entry VMs", _STEADY_LOAD, _UNIFORM_RUNNERS, plain=3, entries=8),
    Scenario(
        "smoke",
        "a few requests, to check the bench itself",
        _steady_load_with(rate=8.0, plain_rate=4.0),
        _runners((1.0,), (1.0, 1.0)),
        plain=1,
        entries=2,
    ),
)
QUICK_SCENARIOS = ("steady", "peak", "decode-killed")

"""The scenarios of the bench: a site, a load and what goes wrong during it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._workload import ClassMix, Workload, WorkspaceLoad

__all__ = ["POLICIES", "QUICK", "SCENARIOS", "Event", "Runner", "Scenario"]

POLICIES = ("round_robin", "least_loaded", "prefill_first", "reserving")

# A completion of `_CLASSES` has about 1,100 prompt and 105 output tokens. Five decode runners with 20 slots, whose gap
# with a full batch is 14 ms x 1.86 = 26 ms, make 3,850 tokens/s; four prefill runners make 40,000 tokens/s. 32
# requests/s take about 89% of the decode runners and, without any cached prefix, 76% of the prefill runners.
STEADY_RATE = 32.0

_CLASSES = (
    ClassMix("lookup", 0.35, 100, 400, 32, patience_s=2.5),
    ClassMix("interactive", 0.50, 600, 2400, 128, patience_s=5.0),
    ClassMix("briefing", 0.15, 3000, 8000, 192, patience_s=8.0, deadline_s=8.0),
)
_LONG = (
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
_STEADY = Workload(STEADY_RATE, _CLASSES, _WORKSPACES)


@dataclass(slots=True, frozen=True)
class Runner:
    """One engine of the site; `speed` multiplies the speed of prefill and decode."""

    role: str
    speed: float = 1.0


@dataclass(slots=True, frozen=True)
class Event:
    """Something that happens to a member at a part of the load's time.

    `action` is ``kill``, ``freeze`` (SIGSTOP) or the kind of a stand-in's fault, with `options` for it. A member
    ``control-leader`` is the control VM that leads at that moment.
    """

    at: float
    member: str
    action: str
    options: tuple[tuple[str, object], ...] = ()


@dataclass(slots=True, frozen=True)
class Scenario:
    """What one run consists of. Without faults, `events` is empty."""

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


_EVEN = _runners((0.9, 1.0, 1.0, 1.1), (0.9, 1.0, 1.0, 1.0, 1.1))
_MIXED = _runners((0.6, 0.8, 1.2, 1.8), (0.6, 0.8, 1.0, 1.2, 1.8))


def _load(**changes: object) -> Workload:
    values = {name: getattr(_STEADY, name) for name in Workload.__dataclass_fields__}
    return Workload(**{**values, **changes})


_PEAK = _load(profile=((-1e9, 1.0), (0.0, 1.5)))
_FAULTY = _load(rate=STEADY_RATE * 0.7)  # room for the loss of one runner
_GREEDY = _load(
    rate=STEADY_RATE * 0.7,
    workspaces=(*_WORKSPACES[:2], WorkspaceLoad("parents", 0.15, 5.0), *_WORKSPACES[3:]),
    limit_factor=1.2,
)

SCENARIOS = (
    Scenario("steady", "steady load near saturation", _STEADY, _EVEN),
    Scenario("peak", "morning peak at 1.5 times the steady rate", _PEAK, _EVEN),
    Scenario("greedy", "one workspace at 5 times its rate", _GREEDY, _EVEN),
    Scenario(
        "long-files",
        "long route files with shared prefixes",
        _load(rate=STEADY_RATE * 0.45, classes=_LONG, shared_part=0.8, shared_share=0.8),
        _EVEN,
    ),
    Scenario("mixed-speed", "runners of mixed speed, 3 to 1", _STEADY, _MIXED),
    Scenario("decode-killed", "a decode runner killed", _FAULTY, _EVEN, events=(Event(0.4, "engine-d1", "kill"),)),
    Scenario(
        "decode-silent",
        "a decode runner whose open connections go silent",
        _FAULTY,
        _EVEN,
        events=(Event(0.4, "engine-d1", "silence", (("connections", "existing"),)),),
    ),
    Scenario(
        "decode-slow",
        "a decode runner three times slower for half of the time",
        _FAULTY,
        _EVEN,
        events=(Event(0.3, "engine-d1", "slow", (("factor", 3.0), ("part", 0.5))),),
    ),
    Scenario("leaving", "10% of the callers leave", _load(leaving_part=0.1), _EVEN),
    Scenario("entry-killed", "an entry VM killed", _FAULTY, _EVEN, events=(Event(0.4, "entry2", "kill"),)),
    Scenario(
        "control-cut",
        "the leading control VM cut off silently",
        _FAULTY,
        _EVEN,
        controls=3,
        events=(Event(0.4, "control-leader", "freeze"),),
    ),
    Scenario("second-site", "9 runners and 3 plain, 8 entry VMs", _STEADY, _EVEN, plain=3, entries=8),
    Scenario(
        "smoke",
        "a few requests, to check the bench itself",
        _load(rate=8.0, plain_rate=4.0),
        _runners((1.0,), (1.0, 1.0)),
        plain=1,
        entries=2,
    ),
)
QUICK = ("steady", "peak", "decode-killed")

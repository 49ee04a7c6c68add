"""Replays of loads beyond the room of the engines: who gets a place, who is refused, and where prompts are read."""

import copy
from collections import Counter

import pytest
from arbutusrill_wire import messages

from arbutusrill_site._recent_arrivals import RecentArrivals
from arbutusrill_site._waiting_queue import WaitingQueue

from .test_placement import OBJECTIVE_S, Replay

PREFILL_S_PER_TOKEN = 0.00003
LOCAL_PREFILL_S_PER_TOKEN = 0.00006
NETWORK_S = 0.025  # of a prefill, while the engine reads the next prompt
REPORT_DELAY_S = 0.5  # from the end of a prefill to the next request of its entry VM
EVENT_S = 0.08  # usual time between two events
FETCH_S = 0.08  # from the end of a prefill to the first event
GAP = {"event_gap_ms": 300}


class ScarceReplay(Replay):
    """Reads prompts one after the other, and keeps what became of each request."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.requests, self.arrived_at, self.first_event_at, self.refused_at = {}, {}, {}, {}
        self.prefill_ends, self.prefills = {}, []
        self.streams_by_engine, self.local_end_by_engine = {}, {}
        self.paused = set()  # IDs of streams that paused for longer than their callers accept
        self.kept_interval = 0  # one prompt in this number is read in a quarter of its time, as the engine has its rest
        self.prefill_count = 0
        self.read_s_per_token, self.network_s = PREFILL_S_PER_TOKEN, NETWORK_S

    def poll(self, now, request, arrived_at):
        self.requests.setdefault(request.request_id, request)
        self.arrived_at.setdefault(request.request_id, now)
        ended = [entry for entry in self.prefills if entry[0] <= now - REPORT_DELAY_S]
        self.prefills = [entry for entry in self.prefills if entry[0] > now - REPORT_DELAY_S]
        request.prefills = [speed for _, speed in ended]
        refused_before = self.refused
        super().poll(now, request, arrived_at)
        if self.refused > refused_before:
            self.on_refused(now, request)

    def on_refused(self, now, request):
        self.refused_at[request.request_id] = now

    def begin_stream(self, now, reply, request):
        if request.request_id in self.waiting_since:
            self.first_event_at[request.request_id] = self.read(now, reply, request.prompt_tokens) + FETCH_S
            self.streams_by_engine.setdefault(reply.decode, set()).add(request.request_id)
        super().begin_stream(now, reply, request)

    def end_stream(self, now, reply, request):
        self.streams_by_engine[reply.decode].discard(request.request_id)
        super().end_stream(now, reply, request)

    def read(self, now, reply, tokens):
        """Returns when a prompt has been read."""
        if not reply.prefill:
            ends_at = max(now, self.local_end_by_engine.get(reply.decode, 0.0)) + tokens * LOCAL_PREFILL_S_PER_TOKEN
            self.local_end_by_engine[reply.decode] = ends_at
            if ends_at - now + EVENT_S > GAP["event_gap_ms"] / 1000:
                self.paused |= self.streams_by_engine.get(reply.decode, set())
            return ends_at
        self.prefill_count += 1
        is_kept = self.kept_interval and self.prefill_count % self.kept_interval == 0
        read_s = tokens * self.read_s_per_token / (4 if is_kept else 1)
        ends_at = max(now, self.prefill_ends.get(reply.prefill, 0.0)) + read_s
        self.prefill_ends[reply.prefill] = ends_at
        self.prefills.append((ends_at, messages.EngineSpeed(reply.prefill, ends_at + self.network_s - now, tokens)))
        return ends_at

    def in_time_fraction(self, start, end):
        asked = [n for n, at in self.arrived_at.items() if start <= at < end and not n.startswith("again-")]
        in_time = [n for n in asked if self.first_event_at.get(n, 1e9) - self.arrived_at[n] <= OBJECTIVE_S]
        return len(set(in_time) - self.paused) / len(asked)

    def served_by(self, field):
        asked = Counter(getattr(request, field) for request in self.requests.values())
        served = Counter(getattr(self.requests[name], field) for name in self.first_event_at)
        return {key: served[key] / count for key, count in asked.items()}


@pytest.mark.parametrize("seed", range(3))
def test_decode_engines_with_streams_read_no_prompt_that_pauses_them(seed):
    # One prefill engine for twice its load: decode engines read every second prompt, and most streams paused.
    replay = ScarceReplay(seed, decode=12, prefill=1)
    replay.load(20, 0, 15, **GAP)
    replay.run(40)
    assert not replay.paused
    assert len(replay.first_event_at) > 100


@pytest.mark.parametrize("seed", range(3))
def test_short_prompts_are_still_read_by_decode_engines(seed):
    # Without a prefill engine in time, streams that allow it share their engine with the reading of a short prompt.
    replay = ScarceReplay(seed, decode=12, prefill=1)
    replay.load(25, 0, 10, prompt_tokens=1500, **GAP)
    replay.run(30)
    assert replay.in_time_fraction(0, 10) > 0.9


@pytest.mark.parametrize("seed", range(4))
def test_burst_leaves_most_streams_in_time_and_those_after_it_all(seed):
    # Prompts of late streams filled the prefill engines, others were read where they paused streams, and a large part
    # of the requests that came next was late too.
    replay = ScarceReplay(seed, decode=12, prefill=3)
    for start, end, rate in ((0, 5, 22), (5, 9, 60), (9, 20, 22)):
        replay.load(rate * 0.7, start, end, prompt_tokens=2400, output_tokens=500, **GAP)
        replay.load(rate * 0.3, start, end, prompt_tokens=5500, output_tokens=900, **GAP)
    replay.run(60)
    assert replay.in_time_fraction(5, 9) > 0.7
    assert replay.in_time_fraction(9.5, 20) > 0.99
    assert len(replay.first_event_at) > 480
    assert replay.peak_tokens <= replay.capacity_tokens


def mean_in_time(factor, start, end, **settings):
    """Plays a burst of `factor` times the capacity from 5 to 9 s; returns the fraction in time of `start` to `end`."""
    fractions = []
    for seed in range(4):
        replay = ScarceReplay(seed, decode=12, prefill=3)
        for name, value in settings.items():
            setattr(replay, name, value)
        for begin, until, rate in ((0, 5, 26), (5, 9, 33 * factor), (9, 20, 26)):
            replay.load(rate * 0.7, begin, until, prompt_tokens=2400, output_tokens=500, **GAP)
            replay.load(rate * 0.3, begin, until, prompt_tokens=5500, output_tokens=900, **GAP)
        replay.run(60)
        fractions.append(replay.in_time_fraction(start, end))
    return sum(fractions) / len(fractions)


@pytest.mark.parametrize("factor", [0.8, 1.5, 2.5])
def test_prompts_that_engines_have_kept_make_no_others_late(factor):
    # One short time was taken for the speed of the engine, which then got more prompts than it could read in time.
    in_time = [mean_in_time(factor, 0, 20, kept_interval=interval) for interval in (0, 25, 60)]
    assert min(in_time) > in_time[0] - 0.02


@pytest.mark.parametrize("factor", [0.8, 1.5, 2.5])
def test_prefill_engines_that_overlap_no_prompts_get_only_what_they_read_in_time(factor):
    # They were taken to overlap a third of each prompt: a prompt of a burst took 1.1 s, not 0.6 s at most.
    in_time = mean_in_time(factor, 5, 9, read_s_per_token=0.0000375, network_s=0.002)
    assert in_time > mean_in_time(factor, 5, 9) - 0.08


def test_large_late_request_keeps_no_smaller_one_from_the_room():
    # Engines were a quarter empty for four seconds after a burst, while a late request too large for any of them was
    # the first of 70.
    replay = ScarceReplay(1, decode=2, prefill=2)
    for number in range(8):
        replay.arrive(number / 100, prompt_tokens=4400, output_tokens=600, **GAP)
    replay.run(0.2)
    assert len(replay.first_event_at) == 8
    replay.run(1.3)
    replay.arrive(1.3, prompt_tokens=20_000, late_in_ms=0, **GAP)
    replay.arrive(1.4, prompt_tokens=900, output_tokens=100, late_in_ms=0, **GAP)
    replay.run(1.6)
    assert "10" in replay.first_event_at and "9" not in replay.first_event_at


def test_request_with_the_content_of_one_that_returned_and_was_served_has_no_precedence():
    queue = WaitingQueue()

    def arrive(name):
        return queue.enqueue(
            messages.PlaceRequest("vm", 1, name, "model", "", 3200, 3900, 400, 900, content=8), 0.0, 0.2
        )

    first = arrive("first")
    queue.refuse(first)
    second = arrive("second")
    assert second.is_returned and second.number == first.number
    queue.set_granted(second, messages.PlaceReply(1), 0.5)
    assert not arrive("same content").is_returned


def test_no_room_is_kept_for_a_burst_that_has_ended():
    # Engines were a third empty for five seconds after a burst while late requests waited and were refused.
    queue = WaitingQueue()

    def arrive(name, moment):
        request = messages.PlaceRequest("vm", 1, str(name), "model", "", 3200, 3900, 400, 900)
        return queue.enqueue(request, moment, 0.2)

    for number in range(120):
        ticket = arrive(number, number / 60)
    assert queue.reserve_from_late(ticket, 2.0) > 40
    for number in range(15):
        arrive(200 + number, 2 + number / 10)
    for number in range(70):
        queue.record_release("model", number / 20, 2.4)
    assert queue.reserve_from_late(ticket, 3.5) < 6


def equal_sizes(replay):
    replay.load(14, 0, 5, **GAP)
    replay.load(70, 5, 11, **GAP)


def two_sizes(replay):
    for start, end, rate in ((0, 5, 22), (5, 9, 75), (9, 20, 22)):
        replay.load(rate * 0.7, start, end, prompt_tokens=2400, output_tokens=500, **GAP)
        replay.load(rate * 0.3, start, end, prompt_tokens=5500, output_tokens=900, **GAP)


def three_ranks(replay):
    for rank, rate in enumerate((10, 20, 20)):
        replay.load(rate, 0, 20, rank=rank, **GAP)


@pytest.mark.parametrize("prefill", [2, 5])
@pytest.mark.parametrize("load", [equal_sizes, two_sizes, three_ranks])
@pytest.mark.parametrize("seed", range(3))
def test_half_of_the_refusals_come_within_an_eighth_of_the_objective(seed, load, prefill):
    # Requests that could not be in time waited up to three times their objective and were refused then. Where sizes or
    # ranks differ, others overtook them.
    replay = ScarceReplay(seed, prefill=prefill)
    load(replay)
    replay.run(40)
    held = [moment - replay.arrived_at[name] for name, moment in replay.refused_at.items()]
    assert len(held) > 50
    assert sum(held_s <= OBJECTIVE_S / 8 for held_s in held) > 0.5 * len(held)


def waiting(queue, name, now=0.0, **fields):
    """Adds a request that is in time if it gets a place within 0.7 s."""
    request = messages.PlaceRequest("vm", 1, name, "model", "", 3200, 3900, 400, 900, **fields)
    return queue.enqueue(request, now, 0.2)


def test_requests_that_will_be_late_wait_behind_each_other():
    # Each of those that came during a burst expected to be the first late one, so that too many waited in vain.
    queue = WaitingQueue()
    for _ in range(16):
        queue.record_release("model", 0.0, 2.0)
    for number in range(4):
        queue.expected_wait_s(waiting(queue, f"in time {number}", 2.0), 2.0, 4)
    expected_s = [queue.expected_wait_s(waiting(queue, f"late {number}", 2.0), 2.0, 4) for number in range(8)]
    assert expected_s[-1] > expected_s[0] + 7.0  # late requests get one place a second at 4 engines


def test_new_request_that_others_will_overtake_does_not_expect_to_be_in_time():
    # It expected a place after the two ahead of it, while more urgent ones arrived as fast as places were free.
    queue = WaitingQueue()
    for number in range(30):
        queue.record_release("model", number / 30, 2.0)
        queue.set_granted(waiting(queue, f"urgent {number}", number / 30), messages.PlaceReply(number), number / 30)
    urgent, other = waiting(queue, "urgent", 1.0), waiting(queue, "other", 1.0, rank=1)
    assert queue.expected_wait_s(urgent, 1.0, 4, is_new=True) < 0.7
    assert queue.expected_wait_s(other, 1.0, 4, is_new=True) > 0.7


def test_stream_that_goes_on_elsewhere_does_not_wait_behind_those_that_will_be_late():
    # A stream whose engine had failed expected to wait behind all new requests that will be late, which it precedes.
    queue = WaitingQueue()
    for number in range(80):
        queue.record_release("model", number / 40, 2.0)
    for number in range(60):
        queue.expected_wait_s(waiting(queue, f"new {number}", 2.0), 2.0, 4, is_new=True)
    continued = waiting(queue, "continued", 2.0, continued=True)
    assert queue.expected_wait_s(continued, 2.0, 4, is_new=True) < 3.2  # 61 places at 20 a second


def test_arrival_that_returns_after_a_refusal_counts_until_its_own_time_has_passed():
    # The end of the window of the refused attempt removed the attempt that followed.
    arrivals = RecentArrivals(2.0)
    arrivals.add(5, 0.0)
    arrivals.discard(5)
    arrivals.add(5, 1.0)
    assert arrivals.rate_ahead_of(9, 2.5) == 0.5
    assert arrivals.rate_ahead_of(9, 3.5) == 0.0


@pytest.mark.parametrize("seed", range(3))
def test_first_requests_of_a_load_are_not_refused_before_any_stream_can_have_ended(seed):
    # With no release in four seconds, one place per second was expected of an engine with 16 slots: all that waited
    # were refused at once, although each would have had a place within 0.6 s.
    replay = ScarceReplay(seed, decode=1, prefill=1)
    replay.stream_s = 0.4
    replay.load(70, 0, 0.4, prompt_tokens=20, output_tokens=5)
    replay.run(20)
    assert replay.arrived > 20
    assert replay.refused == 0 and max(replay.waits) < 0.6


@pytest.mark.parametrize("seed", range(3))
def test_more_urgent_requests_go_first_and_no_rank_or_workspace_starves(seed):
    replay = ScarceReplay(seed, prefill=5)
    for rank, rate in enumerate((10, 20, 20)):
        for number in range(4):
            replay.load(rate / 4, 0, 30, rank=rank, workspace=f"{number}", **GAP)
    replay.run(60)
    served = replay.served_by("rank")
    total = len(replay.first_event_at) / replay.arrived
    assert total < 0.8, "the load is above the capacity"
    assert served[0] > 0.9
    assert served[0] >= served[1] - 0.05 and served[1] >= served[2] - 0.05
    assert min(served.values()) > total / 4
    assert min(replay.served_by("workspace").values()) > 0.8 * total


@pytest.mark.parametrize("seed", range(3))
def test_workspace_with_far_more_than_its_share_of_places_goes_after_the_others(seed):
    replay = ScarceReplay(seed, prefill=5)
    for number in range(9):
        replay.load(1.5, 0, 30, workspace=f"w{number}", **GAP)
    replay.load(30, 0, 30, workspace="large", **GAP)
    replay.run(60)
    served = replay.served_by("workspace")
    total = len(replay.first_event_at) / replay.arrived
    others = [share for name, share in served.items() if name != "large"]
    assert total < 0.8, "the load is above the capacity"
    assert sum(others) / len(others) > served["large"] + 0.1
    assert served["large"] > total / 4


class ReturningReplay(ScarceReplay):
    """Refused callers return once after the time that they are told."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.return_at = {}  # by the ID of the second request
        self.refused_twice = 0

    def arrive(self, now, *args, **more):
        super().arrive(now, *args, content=self.arrived + 1, return_within_ms=4000, **more)

    def on_refused(self, now, request):
        super().on_refused(now, request)
        if request.request_id.startswith("again-"):
            self.refused_twice += 1
            return
        again = copy.copy(request)
        again.request_id = f"again-{request.request_id}"
        again.late_in_ms = int(OBJECTIVE_S * 1000)
        self.return_at[again.request_id] = return_at = now + self.last_wait_ms / 1000
        self.at(return_at, self.come_back, again)

    def come_back(self, now, request):
        self.waiting_since[request.request_id] = now
        self.poll(now, request, now)


@pytest.mark.parametrize("seed", range(3))
def test_refused_callers_return_spread_out_and_are_rarely_refused_again(seed):
    # All were told the same wait, came back together and were refused for good.
    replay = ReturningReplay(seed, prefill=5)
    replay.load(16, 0, 5, **GAP)
    replay.load(60, 5, 8, **GAP)
    replay.load(12, 8, 20, **GAP)
    replay.run(60)
    assert len(replay.return_at) > 40
    by_half_second = Counter(int(moment * 2) for moment in replay.return_at.values())
    assert max(by_half_second.values()) < 0.3 * len(replay.return_at)
    assert replay.refused_twice < 0.2 * len(replay.return_at)
    assert replay.in_time_fraction(9, 20) > 0.9

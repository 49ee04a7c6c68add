"""Guards against wrong window counts, unbounded memory and workspace names that are not escaped in the report."""

from arbutusrill_base import ManualClock

from arbutusrill_burn import BurnCount, BurnCounter, burn_html, burn_rates


def counts_of_window(rows, window):
    return [(row.good, row.bad) for row in rows if row.window_s == window]


def test_old_requests_leave_the_short_window_first():
    clock = ManualClock(start=100_000.0)
    counter = BurnCounter(clock)
    counter.add("a", "chat", "first_token", good=False)
    clock.advance(400)
    counter.add("a", "chat", "first_token", good=True)
    rows = counter.counts(100)
    assert (counts_of_window(rows, 300), counts_of_window(rows, 3600)) == ([(1, 0)], [(1, 1)])
    clock.advance(4000)
    assert counts_of_window(counter.counts(100), 3600) == []


def test_number_of_keys_is_bounded_and_idle_keys_are_evicted():
    clock = ManualClock(start=100_000.0)
    counter = BurnCounter(clock, max_keys=5)
    for number in range(50):
        counter.add(f"w{number}", "chat", "availability", good=True)
    assert (len(counter.counts(1000)), counter.dropped_requests) == (15, 45)
    clock.advance(30_000)
    counter.add("new", "chat", "availability", good=True)
    assert {row.workspace for row in counter.counts(1000)} == {"new"}


def test_rows_are_limited_and_sorted_by_bad_requests():
    counter = BurnCounter(ManualClock(), windows_s=(300,))
    for number in range(20):
        counter.add(f"w{number}", "chat", "availability", good=number != 13)
    assert [row.workspace for row in counter.counts(3)][0] == "w13"
    assert len(counter.counts(3)) == 3


def test_rates_sum_vms_and_use_the_error_budget_of_each_workspace():
    counts = [BurnCount("a", "chat", "first_token", 300, 90, 10), BurnCount("a", "chat", "first_token", 300, 100, 0)]
    counts += [BurnCount("a", "chat", "first_token", 3600, 1000, 0), BurnCount("b", "chat", "first_token", 300, 9, 1)]
    rates = burn_rates(counts, lambda workspace, _: 0.05 if workspace == "a" else 0.01)
    assert [(rate.workspace, rate.rate_by_window_s) for rate in rates] == [
        ("b", {300: 10.0}),
        ("a", {300: 1.0, 3600: 0.0}),
    ]


def test_report_escapes_names_and_highlights_burn_rates_above_1():
    rates = burn_rates([BurnCount("<b>", "chat", "first_token", 300, 1, 1)], lambda *_: 0.05)
    page = burn_html(rates, 0.0)
    assert "<b>" not in page and "&lt;b&gt;" in page and 'class="over">10.00' in page

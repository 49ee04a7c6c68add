"""Tests of the memory forecast: too low a peak overcommits an engine, too high a peak leaves memory unused."""

from arbutusrill_site._memory_forecast import StreamLoad, peak_tokens


def test_peak_of_streams_that_end_together_is_their_sum():
    assert peak_tokens([StreamLoad(100, 50, 0.0, 5.0)] * 3, 0.0) == 450


def test_stream_of_unknown_duration_counts_with_its_full_memory():
    loads = [StreamLoad(100, 50, 0.0, None), StreamLoad(100, 50, 0.0, 5.0)]
    assert peak_tokens(loads, 1.0) == 300
    assert peak_tokens(loads[:1], 1.0) == 150


def test_stream_that_outlasts_its_expected_end_keeps_growing():
    overdue = StreamLoad(100, 50, 0.0, 5.0)
    assert overdue.ends_at(8.0) == 10.0
    assert peak_tokens([overdue], 8.0) == 200
    assert peak_tokens([], 8.0) == 0

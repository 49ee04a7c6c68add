"""Guards against engines whose memory is given out twice, or stays unused until a stream has ended."""

from arbutusrill_site._memory import StreamLoad, peak_tokens


def test_streams_that_end_together_need_the_sum():
    assert peak_tokens([StreamLoad(100, 50, 0.0, 5.0)] * 3, 0.0) == 450


def test_stream_of_unknown_length_counts_with_its_whole_memory():
    loads = [StreamLoad(100, 50, 0.0, None), StreamLoad(100, 50, 0.0, 5.0)]
    assert peak_tokens(loads, 1.0) == 300
    assert peak_tokens(loads[:1], 1.0) == 150


def test_stream_that_outlasts_its_expected_end_keeps_growing():
    overdue = StreamLoad(100, 50, 0.0, 5.0)
    assert overdue.ends_at(8.0) == 10.0
    assert peak_tokens([overdue], 8.0) == 200
    assert peak_tokens([], 8.0) == 0

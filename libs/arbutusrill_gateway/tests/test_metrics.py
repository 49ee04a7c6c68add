"""Guards against metrics that grow with each route that was ever used."""

from prometheus_client import generate_latest

from arbutusrill_gateway import GatewayMetrics


def sample(metrics, name, **labels):
    return metrics.registry.get_sample_value(name, labels)


def test_metrics_of_routes_are_bounded_and_keep_those_used_last():
    # An entry VM ended at the limit of its memory after some thousand routes had been added and removed.
    metrics = GatewayMetrics()
    metrics.record_request("kept", 200, 0.1, None)
    for number in range(3000):
        metrics.record_request(f"r-{number}", 200 + number % 2, 0.1, 0.05 if number % 3 else None)
        if number % 100 == 0:
            metrics.record_request("kept", 503, 0.1, 0.05)
    text = generate_latest(metrics.registry).decode()
    routes = {line.partition('route="')[2].partition('"')[0] for line in text.splitlines() if "route=" in line}
    assert routes == {"kept", *(f"r-{number}" for number in range(2489, 3000))}
    assert sample(metrics, "arbutusrill_requests_total", route="kept", status="200") == 1
    assert sample(metrics, "arbutusrill_requests_total", route="kept", status="503") == 30
    assert sample(metrics, "arbutusrill_requests_total", route="r-2999", status="201") == 1
    assert sample(metrics, "arbutusrill_route_metrics_dropped_total") == 2489


def test_route_that_is_used_again_starts_from_zero():
    metrics = GatewayMetrics()
    for _ in range(2):
        metrics.record_request("r", 200, 0.1, 0.05)
        for number in range(512):
            metrics.record_request(f"r-{number}", 200, 0.1, None)
    assert sample(metrics, "arbutusrill_requests_total", route="r", status="200") is None
    metrics.record_request("r", 200, 0.1, 0.05)
    assert sample(metrics, "arbutusrill_first_event_seconds_count", route="r") == 1

"""Guards against burn rates that do not match the reported counts and the configured quantile."""

from arbutusrill_cli._burn import burn_table_rows, compute_burn_rates

ROW = {"workspace": "a", "route": "chat", "target": "first_token", "good": 90, "bad": 10}


def test_rates_use_the_configured_quantile():
    counts = {"burn": [{**ROW, "window_s": 300}, {**ROW, "window_s": 3600, "bad": 0}]}
    defaults = {"defaults": [{"name": "targets.quantile", "value": 0.9}]}
    row = burn_table_rows(compute_burn_rates(counts, defaults))[0]
    assert (row["burn_5m"], row["burn_60m"], row["burn_360m"]) == (1.0, 0.0, None)


def test_no_counts_give_no_rows():
    assert burn_table_rows(compute_burn_rates({"burn": []}, {"defaults": []})) == []

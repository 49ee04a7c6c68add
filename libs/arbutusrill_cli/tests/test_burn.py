"""Guards against burn rates that do not follow from the reported counts and the defaults."""

from arbutusrill_cli._burn import burn_of, burn_rows

ROW = {"workspace": "a", "route": "chat", "target": "first_token", "good": 90, "bad": 10}


def test_rates_use_the_quantile_of_the_defaults():
    counts = {"burn": [{**ROW, "window_s": 300}, {**ROW, "window_s": 3600, "bad": 0}]}
    defaults = {"defaults": [{"name": "targets.quantile", "value": 0.9}]}
    row = burn_rows(burn_of(counts, defaults))[0]
    assert (row["burn_5m"], row["burn_60m"], row["burn_360m"]) == (1.0, 0.0, None)


def test_no_counts_give_no_rows():
    assert burn_rows(burn_of({"burn": []}, {"defaults": []})) == []

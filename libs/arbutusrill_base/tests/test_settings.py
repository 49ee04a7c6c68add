"""Tests that invalid settings are rejected with a one-line error, instead of accepted or shown as a traceback."""

import pytest

from arbutusrill_base import Section, load_settings, parse_settings


class Inner(Section):
    port: int


class Example(Section):
    name: str
    inner: Inner


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"name": "a", "inner": {"port": 1}, "extra": 2}', "s.json: extra: unknown key"),
        ('{"name": "a", "inner": {"port": "1"}}', "s.json: inner.port: expected `int`, got `str`"),
        ('{"name": "a"}', "s.json: inner: missing"),
        ('{"name": "a",', "s.json: line 1, column"),
        ('{"name": "a", "name": "b", "inner": {"port": 1}}', "appears twice"),
    ],
)
def test_error_is_one_line_with_file_key_and_expected_value(text, expected):
    result = parse_settings(text, Example, "s.json")
    assert result.is_error()
    assert expected in result.error
    assert "\n" not in result.error


def test_missing_file_is_named(tmp_path):
    path = tmp_path / "none.json"
    assert load_settings(path, Example).error.startswith(f"{path}: cannot be read")

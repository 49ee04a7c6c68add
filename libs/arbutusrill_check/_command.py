"""Command ``check-config``: checks a configuration before it is sent to a control VM."""

from __future__ import annotations

import argparse
import json
import re
import sys
from pathlib import Path

from arbutusrill_base import load_json
from arbutusrill_http import Transfer, fetch
from arbutusrill_site import (
    ConfigurationDecoder,
    ConfigurationError,
    ConfigurationFormat,
    DocumentReport,
    SiteConfiguration,
    check_document,
    printable,
)

__all__ = ["run"]

EXIT_NOTHING_FOUND, EXIT_FOUND, EXIT_UNREADABLE = 0, 1, 2
_ADDRESS = re.compile(r"[^\s/]+:\d{1,5}")
_TIMEOUT_S = 5.0
_MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
_EPILOG = "Exit codes: 0 nothing found; 1 errors or warnings found; 2 wrong usage, or a document cannot be read."


class _UnreadableError(Exception):
    """A document cannot be read, or is no JSON object."""


def run(arguments: list[str], format_: ConfigurationFormat, path: str) -> int:
    """Checks the document that the arguments name, prints what was found and returns the exit code.

    `format_` decodes documents; `path` is that of the version in force on a control VM.
    """
    parser = argparse.ArgumentParser("check-config", epilog=_EPILOG)
    parser.add_argument("file", metavar="FILE", help="the configuration to check")
    parser.add_argument(
        "--against", metavar="ADDRESS|FILE", help="the version in force: IP:PORT of a control VM, or a file"
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    options = parser.parse_args(arguments)
    try:
        body = _read_file(options.file)
        in_force = _read_version_in_force(options.against, format_, path) if options.against else None
    except _UnreadableError as error:
        print(printable(f"arbutusrill: {error}"), file=sys.stderr)
        return EXIT_UNREADABLE
    report = check_document(format_, body, in_force)
    print_report = _print_json if options.json else _print_lines
    print_report(report)
    return EXIT_FOUND if report.findings else EXIT_NOTHING_FOUND


def _read_file(name: str) -> bytes:
    try:
        return _require_object(name, Path(name).read_bytes())
    except OSError as error:
        raise _UnreadableError(f"{name}: {error.strerror}") from None


def _read_version_in_force(source: str, format_: ConfigurationFormat, path: str) -> SiteConfiguration:
    is_address = _ADDRESS.fullmatch(source) and not Path(source).exists()
    body = _read_address(source, path) if is_address else _read_file(source)
    try:
        return ConfigurationDecoder(format_).decode_whole(body)
    except ConfigurationError as error:
        raise _UnreadableError(f"{source}: no valid configuration: {error}") from None


def _read_address(address: str, path: str) -> bytes:
    url = f"http://{address}{path}"
    result = fetch(Transfer("GET", url, timeout_s=_TIMEOUT_S, max_body_bytes=_MAX_DOCUMENT_BYTES))
    if not result.is_complete:
        raise _UnreadableError(f"{address}: {result.detail or result.error}")
    if result.status != 200:
        raise _UnreadableError(f"{address}: the control VM answered with status {result.status}")
    return _require_object(address, result.body)


def _require_object(source: str, body: bytes) -> bytes:
    try:
        value = load_json(body)
    except ValueError as error:
        raise _UnreadableError(f"{source}: not JSON: {error}") from None
    if not isinstance(value, dict):
        raise _UnreadableError(f"{source}: not a JSON object")
    return body


def _print_lines(report: DocumentReport) -> None:
    for item in (*report.findings, *report.differences):
        print(item.line())


def _print_json(report: DocumentReport) -> None:
    value = {
        "findings": [
            {"severity": finding.severity.value, "place": finding.place, "text": finding.text}
            for finding in report.findings
        ],
        "differences": [
            {
                "change": difference.change.value,
                "place": difference.place,
                "fields": [
                    {"name": name, "before": before, "after": after} for name, before, after in difference.fields
                ],
            }
            for difference in report.differences
        ],
    }
    print(json.dumps(value, indent=2, ensure_ascii=False))

"""HTTP client of the operators' interface.

Exit codes of the tool: 0 success, 1 internal error, 2 wrong usage or settings, 3 refused (nothing was changed),
4 no control VM with a quorum answered (the change may have been made: repeat it with the same request ID),
5 accepted, but not in force on every VM within the time limit of ``--wait``.
"""

from __future__ import annotations

import json
import os
import time
from typing import Any
from urllib.parse import urlencode

from arbutusrill_base import new_request_id
from arbutusrill_http import Transfer, fetch

__all__ = ["EXIT_NOT_IN_FORCE", "EXIT_NO_CONTROL", "EXIT_REFUSED", "OperatorClient", "OperatorError"]

EXIT_REFUSED = 3
EXIT_NO_CONTROL = 4
EXIT_NOT_IN_FORCE = 5
_RETRY_DURATION_S = 8.0  # longer than two leader elections of the control group
_RETRY_PAUSE_S = 0.2
_REQUEST_TIMEOUT_S = 15.0


class OperatorError(Exception):
    """A command failed; `exit_code` is the exit code of the tool."""

    def __init__(self, message: str, exit_code: int):
        super().__init__(message)
        self.exit_code = exit_code


class OperatorClient:
    """Sends requests to the control VMs in turn until one answers."""

    def __init__(self, addresses: list[str], token: str):
        self._addresses = addresses
        self._token = token

    @classmethod
    def from_environment(cls) -> OperatorClient:
        """Creates a client from ARBUTUSRILL_CONTROL (comma-separated addresses) and ARBUTUSRILL_TOKEN."""
        addresses = [part for part in os.environ.get("ARBUTUSRILL_CONTROL", "").split(",") if part]
        if not addresses:
            message = "set ARBUTUSRILL_CONTROL to the control VMs' addresses, such as 10.0.0.1:7400,10.0.0.2:7400"
            raise OperatorError(message, 2)
        return cls(addresses, os.environ.get("ARBUTUSRILL_TOKEN", ""))

    def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        query: dict[str, Any] | None = None,
        request_id: str | None = None,
    ) -> dict[str, Any]:
        """Sends one request and returns the JSON response; raises `OperatorError`.

        Skips VMs that are unreachable, do not lead (421) or lack a quorum (503), and retries all for
        `_RETRY_DURATION_S` seconds. All attempts of a change carry the same request ID, so that it is applied once.
        """
        if request_id is None and method != "GET":
            request_id = new_request_id("op")
        headers = [f"Authorization: Bearer {self._token}", "Content-Type: application/json"]
        if request_id:
            headers.append(f"X-Request-Id: {request_id}")
        suffix = f"?{urlencode(query)}" if query else ""
        data = b"" if body is None else json.dumps(body).encode()
        deadline = time.monotonic() + _RETRY_DURATION_S
        while True:
            failures = []
            for address in self._addresses:
                url = f"http://{address}/v1/operator{path}{suffix}"
                result = fetch(Transfer(method, url, headers, data, timeout_s=_REQUEST_TIMEOUT_S))
                if result.is_complete and result.status not in (421, 503):
                    return _parse_response(result.status, result.body)
                failures.append(f"{address}: {result.detail or _error_message(result.status, result.body)}")
            if time.monotonic() >= deadline:
                break
            time.sleep(_RETRY_PAUSE_S)
        hint = f"; the change may have been made, repeat it with --request-id {request_id}" if request_id else ""
        raise OperatorError(f"no control VM answered ({'; '.join(failures)}){hint}", EXIT_NO_CONTROL)


def _error_message(status: int, body: bytes) -> str:
    try:
        return json.loads(body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        return f"status {status}"


def _parse_response(status: int, body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        raise OperatorError(f"response with status {status} has a body that is not JSON", EXIT_REFUSED) from None
    if status >= 400:
        raise OperatorError(value.get("error", {}).get("message", f"status {status}"), EXIT_REFUSED)
    return value

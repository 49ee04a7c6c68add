"""HTTP client of the operators' interface.

Exit codes of the tool: 0 done, 1 fault of the tool, 2 wrong usage or settings, 3 refused (nothing was changed),
4 no control VM with a quorum answered (a change may have been made: send it again with the same request id),
5 accepted, but not in force on every VM in the time that ``--wait`` allows.
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
_RETRY_S = 8.0  # more than two elections of the control group
_PAUSE_S = 0.2
_TIMEOUT_S = 15.0


class OperatorError(Exception):
    """A command that failed; `exit_code` is what the tool exits with."""

    def __init__(self, message: str, exit_code: int):
        super().__init__(message)
        self.exit_code = exit_code


class OperatorClient:
    """Asks the control VMs in turn until one answers."""

    def __init__(self, addresses: list[str], token: str):
        self._addresses = addresses
        self._token = token

    @classmethod
    def from_environment(cls) -> OperatorClient:
        """Takes ARBUTUSRILL_CONTROL (addresses separated by commas) and ARBUTUSRILL_TOKEN."""
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
        """Sends one request and returns the JSON answer; raises `OperatorError`.

        Control VMs without a quorum or leadership are passed over, and all are asked again for some seconds. A
        change has one request id for all tries, so that it is made once.
        """
        if request_id is None and method != "GET":
            request_id = new_request_id("op")
        headers = [f"Authorization: Bearer {self._token}", "Content-Type: application/json"]
        if request_id:
            headers.append(f"X-Request-Id: {request_id}")
        suffix = f"?{urlencode(query)}" if query else ""
        data = b"" if body is None else json.dumps(body).encode()
        deadline = time.monotonic() + _RETRY_S
        while True:
            problems = []
            for address in self._addresses:
                url = f"http://{address}/v1/operator{path}{suffix}"
                result = fetch(Transfer(method, url, headers, data, timeout_s=_TIMEOUT_S, fresh=True))
                if result.whole and result.status not in (421, 503):
                    return _answer(result.status, result.body)
                problems.append(f"{address}: {result.detail or _message(result.status, result.body)}")
            if time.monotonic() >= deadline:
                break
            time.sleep(_PAUSE_S)
        again = f"; to be sure, repeat it with --request-id {request_id}" if request_id else ""
        raise OperatorError(f"no control VM answers ({'; '.join(problems)}){again}", EXIT_NO_CONTROL)


def _message(status: int, body: bytes) -> str:
    try:
        return json.loads(body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        return f"status {status}"


def _answer(status: int, body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        raise OperatorError(f"status {status} with a body that is not JSON", EXIT_REFUSED) from None
    if status >= 400:
        raise OperatorError(value.get("error", {}).get("message", f"status {status}"), EXIT_REFUSED)
    return value

"""Failure of a request, and its verdict: whether the back end may have run the request."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Failure", "FailureError", "Verdict"]


class Verdict(enum.Enum):
    """Whether the back end may have run a request that failed.

    `NOT_RUN` guarantees that it has not, so the request can be sent again safely. `RAN` means that the back end
    has completed the request although its response is not available.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def combine(self, other: Verdict) -> Verdict:
        """Combines the verdicts of two attempts of one request: `RAN` over `MAY_HAVE_RUN` over `NOT_RUN`.

        >>> Verdict.NOT_RUN.combine(Verdict.MAY_HAVE_RUN)
        <Verdict.MAY_HAVE_RUN: 'may_have_run'>
        """
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)


@dataclass(slots=True, frozen=True)
class Failure:
    """Failure of a request as it is reported to the caller.

    `code` is a fixed identifier such as ``rate_limited``; `status` is the HTTP status; `retry_after` is in
    seconds, None when a retry does not help; `param` names the invalid field of the request.
    """

    code: str
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    status: int = 503
    retry_after: float | None = None
    param: str | None = None


class FailureError(Exception):
    """Carries a `Failure` out of code that cannot return one, such as library callbacks."""

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code}: {failure.message}")
        self.failure = failure

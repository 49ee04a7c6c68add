"""Verdict of a failed call and the failure that carries it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Failure", "FailureError", "Verdict"]


class Verdict(enum.Enum):
    """Says whether the back end may have run a request that failed.

    `NOT_RUN` is a promise: the request can be sent again without risk. `RAN` means that the back end
    is known to have completed the request although its answer is not available.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def worst(self, other: Verdict) -> Verdict:
        """Returns the verdict for a request that met both outcomes on its way.

        >>> Verdict.NOT_RUN.worst(Verdict.MAY_HAVE_RUN)
        <Verdict.MAY_HAVE_RUN: 'may_have_run'>
        """
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)


@dataclass(slots=True, frozen=True)
class Failure:
    """Why a request failed, in the form that callers see.

    `code` is a fixed word such as ``rate_limited``; `status` is the HTTP status; `retry_after` is in
    seconds, None when a retry does not help; `param` names the offending field of the request.
    """

    code: str
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    status: int = 503
    retry_after: float | None = None
    param: str | None = None


class FailureError(Exception):
    """Carries a `Failure` through code that can only raise, such as library callbacks."""

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code}: {failure.message}")
        self.failure = failure

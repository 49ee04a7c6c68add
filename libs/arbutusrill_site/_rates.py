"""Client of the leader's token buckets, for an entry VM."""

from __future__ import annotations

from arbutusrill_limits import RateAuthority, RateAuthorityUnavailableError
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["LeaderRateAuthority"]

_CALL_TIMEOUT_S = 0.15  # longest delay of a request; after it this VM decides by its own share of the rate


class LeaderRateAuthority(RateAuthority):
    """Charges the bucket of a workspace at the leader; raises `RateAuthorityUnavailableError` if that fails."""

    def __init__(self, vm: str, incarnation: int, client: ControlClient):
        self._vm = vm
        self._incarnation = incarnation
        self._client = client

    def charge(self, workspace: str, tokens: float, number: int) -> float:
        """Charges `tokens` and returns 0, or returns the seconds until that many are available."""
        charge = messages.TokenCharge(self._vm, self._incarnation, workspace, tokens, number)
        try:
            return self._client.call("charge_tokens", charge, timeout=_CALL_TIMEOUT_S, try_timeout=_CALL_TIMEOUT_S)
        except (ControlUnavailableError, messages.Refused) as error:
            raise RateAuthorityUnavailableError(str(error)) from None

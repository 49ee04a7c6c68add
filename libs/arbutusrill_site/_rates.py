"""Charges of tokens that an entry VM asks the leader for."""

from __future__ import annotations

from arbutusrill_limits import RateAuthority, RateAuthorityLostError
from arbutusrill_state import ControlClient, ControlUnavailableError
from arbutusrill_wire import messages

__all__ = ["LeaderRates"]

_CALL_S = 0.15  # a request waits for no longer; then this VM decides by its part of the rate


class LeaderRates(RateAuthority):
    """Asks the leader whether a workspace has the tokens for one more request."""

    def __init__(self, vm: str, incarnation: int, client: ControlClient):
        self._vm = vm
        self._incarnation = incarnation
        self._client = client

    def charge(self, workspace: str, tokens: float) -> float:
        """Charges `tokens` and returns 0, or returns after how many seconds they would be there."""
        charge = messages.TokenCharge(self._vm, self._incarnation, workspace, tokens)
        try:
            return self._client.call("charge_tokens", charge, timeout=_CALL_S, try_timeout=_CALL_S)
        except (ControlUnavailableError, messages.Refused) as error:
            raise RateAuthorityLostError(str(error)) from None

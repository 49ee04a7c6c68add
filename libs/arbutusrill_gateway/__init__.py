"""Reverse proxy for opaque requests: routing, admission, backend selection, retries and response streaming."""

from ._backends import BackendPool, Candidate
from ._configuration_change import apply_configuration
from ._connections import BackendConnections
from ._gateway import Gateway
from ._metrics import GatewayMetrics
from ._placement import PlacementClient
from ._planned_stop import stop_in_time
from ._prompt_guard import PromptBarredError, PromptGuard
from ._protocol import BackendProtocol, BackendRequest, CallerRequest, KvCacheHandle, PromptParts, ResponseHead
from ._reply import Refusal, Responder
from ._second_sender import SecondSender

__all__ = [
    "BackendConnections",
    "BackendPool",
    "BackendProtocol",
    "BackendRequest",
    "CallerRequest",
    "Candidate",
    "Gateway",
    "GatewayMetrics",
    "KvCacheHandle",
    "PlacementClient",
    "PromptBarredError",
    "PromptGuard",
    "PromptParts",
    "Refusal",
    "Responder",
    "SecondSender",
    "ResponseHead",
    "apply_configuration",
    "stop_in_time",
]

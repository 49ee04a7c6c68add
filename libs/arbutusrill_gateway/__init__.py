"""Gateway for opaque requests: routes, placement, attempts, and the relay of answers and streams."""

from ._backends import BackendPool, Candidate
from ._gateway import Gateway
from ._metrics import GatewayMetrics
from ._places import Places
from ._protocol import Answer, BackendProtocol, CallerRequest, Prefilled, Send
from ._reply import Refusal, Responder

__all__ = [
    "Answer",
    "BackendPool",
    "BackendProtocol",
    "CallerRequest",
    "Candidate",
    "Gateway",
    "GatewayMetrics",
    "Places",
    "Prefilled",
    "Refusal",
    "Responder",
    "Send",
]

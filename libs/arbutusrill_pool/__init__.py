"""Request queue, admission control and placement for pools of backend servers."""

from ._directory import PoolDirectory
from ._engine_calls import EngineCallQueue, EngineClient, EngineRequest, HttpEngineClient, OrderAnswer
from ._orders import OrderRunner
from ._owner import PoolOwner
from ._policy import POLICIES, PlacementPolicy, PlacementRequest, create_policy
from ._ticket import Placement

__all__ = [
    "POLICIES",
    "EngineClient",
    "EngineRequest",
    "EngineCallQueue",
    "HttpEngineClient",
    "OrderAnswer",
    "OrderRunner",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PoolDirectory",
    "PoolOwner",
    "create_policy",
]

"""Pools of backend servers: their owner, its slots and its queue."""

from ._directory import PoolDirectory
from ._engines import EngineCalls, EngineRequest, EngineWork, HttpEngineCalls, OrderAnswer
from ._orders import OrderRunner
from ._owner import PoolOwner
from ._policy import POLICIES, PlacementPolicy, PlacementRequest, policy_named
from ._ticket import Placement

__all__ = [
    "POLICIES",
    "EngineCalls",
    "EngineRequest",
    "EngineWork",
    "HttpEngineCalls",
    "OrderAnswer",
    "OrderRunner",
    "Placement",
    "PlacementPolicy",
    "PlacementRequest",
    "PoolDirectory",
    "PoolOwner",
    "policy_named",
]

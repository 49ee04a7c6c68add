"""Pools of backend servers: their owner, its slots and its queue."""

from ._directory import PoolDirectory
from ._owner import PoolOwner

__all__ = ["PoolDirectory", "PoolOwner"]

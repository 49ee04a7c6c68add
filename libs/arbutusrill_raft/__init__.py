"""Replicated log of the control group."""

from ._log import LocalLog, LogStatus, LogUnavailableError, NotLeaderError, ReplicatedLog, StateMachine

__all__ = ["LocalLog", "LogStatus", "LogUnavailableError", "NotLeaderError", "ReplicatedLog", "StateMachine"]

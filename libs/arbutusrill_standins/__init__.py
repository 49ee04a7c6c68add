"""Simulated model engines and plain services, used as backend servers by the demo, the tests and the benchmark."""

from ._announcer import Announcer

__all__ = ["Announcer"]

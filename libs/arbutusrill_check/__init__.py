"""Command that checks a configuration document before it is sent to a control VM."""

from ._command import run

__all__ = ["run"]

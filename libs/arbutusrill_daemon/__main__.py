"""Runs the daemon as ``python -m arbutusrill_daemon``."""

from ._main import main

main()

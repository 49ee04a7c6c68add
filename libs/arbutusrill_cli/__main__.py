"""Runs the tool as ``python -m arbutusrill_cli``."""

from ._main import main

main()

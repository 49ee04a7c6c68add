"""Runs the daemon as ``python -m arbutusrill_daemon``."""

import signal

# Until the daemon handles the signal, which it ignores, it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ._main import main  # noqa: E402

main()

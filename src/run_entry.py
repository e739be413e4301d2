"""Runs ``knapweed-entry`` from a checkout: this folder is on the import path."""

from __future__ import annotations

import os
import signal
import sys

# The settings are read after the imports, so that nothing is missed by ignoring it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from knapweeddrum.console.entry_process_command import main  # noqa: E402

code = main()
sys.stdout.flush()
sys.stderr.flush()
# The interpreter's teardown may take longer than what is left of the grace period.
os._exit(code)

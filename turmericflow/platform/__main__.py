"""Run a host on the platform."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    # By default the signal to reload ends the process; it may come during the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from turmericflow.platform._process import main

    sys.exit(main())

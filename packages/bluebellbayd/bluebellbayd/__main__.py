"""Runs the daemon as a module."""

import sys

from bluebellbayd.main import main

sys.exit(main())

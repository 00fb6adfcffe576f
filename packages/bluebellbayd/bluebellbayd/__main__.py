"""Entry point of ``python -m bluebellbayd``."""

import sys

from bluebellbayd.main import main

sys.exit(main())

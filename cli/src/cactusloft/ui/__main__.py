"""Entry point of ``python -m cactusloft.ui``."""

import sys

from cactusloft import ui

if __name__ == '__main__':
    sys.exit(ui.main())

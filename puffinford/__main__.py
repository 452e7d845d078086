import sys

from puffinford.cli import main

sys.exit(main())

"""Entry point of `python -m puffinford`.

Without arguments it serves, and does not load the command-line library, to save memory.
"""

import sys

from puffinford.start import serve_program


def main() -> int:
    if len(sys.argv) == 1:
        return serve_program()
    from puffinford.cli import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())

"""Run the backend stand-in with the event loop that the daemons use.

The default loop would make the stand-in the bottleneck earlier.
"""

import json
import sys

import cattrs

from dragonflyramp.runtime import run_daemon
from tests.standins.backends import FleetSpec, serve


def main() -> None:
    """Read the description of the fleet from standard input and run it."""
    spec = cattrs.structure(json.load(sys.stdin), FleetSpec)
    run_daemon(lambda stop: serve(spec))


if __name__ == '__main__':
    main()

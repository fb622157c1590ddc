"""Run dragonflyramp-front, which answers callers on one machine."""

import importlib
import signal


def main() -> None:
    """Run the program; exit code 2 after a bad setting."""
    # A hangup asks to reload settings; one that comes while the program is
    # still imported would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('dragonflyramp.tools._front_program').run()


if __name__ == '__main__':
    main()

"""Run dragonflyramp-front, which answers callers on one VM."""

import gc
import importlib
import signal


def main() -> None:
    """Run the program; exit with code 2 if a setting is invalid."""
    # SIGHUP requests a reload of the settings. One that arrives before the
    # program has been imported would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that an import creates is garbage, and collections take a sixth of
    # the time of a start. `run_daemon` enables them again.
    gc.disable()
    importlib.import_module('dragonflyramp.tools._front_program').run()


if __name__ == '__main__':
    main()

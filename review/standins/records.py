"""Write what was sent, answered and run into a file."""

import os
import pathlib
import time


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        """Write to a file in the folder of the case."""
        self._file = path.open('w')
        self._started_at_seconds = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        elapsed_seconds = time.monotonic() - self._started_at_seconds
        self._file.write(f'{elapsed_seconds:8.3f} {text}\n')

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.add(text)
        self._file.flush()
        print(text, flush=True)


def has_trouble() -> bool:
    """Return whether the case causes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'

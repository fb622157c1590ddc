"""Trace decisions as JSON lines on standard error, each with its time."""

import enum
import json
import sys
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from dragonflyramp.settings import Settings, Trace


@attrs.define
class Tracer:
    """Write decisions while it is on.

    Callers check `is_on` before they collect what a line holds.
    """

    is_on: bool = False
    sink: Callable[[str], Any] = sys.stderr.write

    def write(
        self, decision: str, now_seconds: float, fields: Mapping[str, Any]
    ) -> None:
        """Write one decision with the time it was made at."""
        line = {'trace': decision, 'now_seconds': now_seconds, **fields}
        self.sink(f'{json.dumps(line, default=_plain)}\n')


def _plain(held: Any) -> object:
    if isinstance(held, enum.Enum):
        return held.value
    if isinstance(held, set | frozenset):
        return sorted(held)
    return attrs.asdict(held)


#: The tracer of this process.
decisions = Tracer()


def set_up(settings: Settings) -> None:
    """Trace what the settings say."""
    decisions.is_on = settings.trace is Trace.decisions

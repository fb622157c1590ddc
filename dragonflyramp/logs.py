"""Write logs as JSON lines on standard output, bounded and without blocking."""

import json
import os
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from dragonflyramp.metrics import counters
from dragonflyramp.settings import Settings

if TYPE_CHECKING:
    from loguru import Message

#: Lines that may be written at once after a quiet time, in seconds of rate.
_BURST_SECONDS = 10


@attrs.define(eq=False, kw_only=True)
class LineBudget:
    """Bound the average number of lines a second."""

    lines_per_second: float
    _left: float = attrs.field(init=False)
    _seen_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full burst."""
        self._left = self.lines_per_second * _BURST_SECONDS

    def take(self, now_seconds: float) -> bool:
        """Tell whether one more line may be written."""
        if self._seen_seconds is not None:
            passed_seconds = now_seconds - self._seen_seconds
            self._left = min(
                self.lines_per_second * _BURST_SECONDS,
                self._left + passed_seconds * self.lines_per_second,
            )
        self._seen_seconds = now_seconds
        if self._left < 1:
            return False
        self._left -= 1
        return True


@attrs.define(eq=False, kw_only=True)
class LineSink:
    """Write lines to a descriptor that does not block.

    Lines beyond the budget, or that a reader does not take, are left out;
    the next line that is written counts them.
    """

    descriptor: int
    budget: LineBudget
    clock: Callable[[], float]
    _left_out: int = 0
    #: Rest of a line of which the reader took only a part.
    _rest: bytes = b''

    def write(self, message: 'Message') -> None:
        """Write one record as a JSON object."""
        record = message.record
        is_minor = record['level'].no < _WARNING
        if is_minor and not self.budget.take(self.clock()):
            self._leave_out('rate')
            return
        fields = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'message': record['message'],
            'module': record['name'],
            **record['extra'],
        }
        if record['exception']:
            fields['exception'] = repr(record['exception'].value)
        if self._left_out:
            fields['lines_left_out'] = self._left_out
        line = json.dumps(fields, default=str, separators=(',', ':'))
        self._send(f'{line}\n'.encode())

    def _send(self, line: bytes) -> None:
        try:
            written = os.write(self.descriptor, self._rest + line)
        except BlockingIOError:
            self._leave_out('full')
            return
        except OSError:
            # Nobody reads any more, and there is no other place to tell it.
            self._leave_out('closed')
            return
        self._rest = (self._rest + line)[written:]
        self._left_out = 0

    def _leave_out(self, reason: str) -> None:
        self._left_out += 1
        counters.add('log_lines_left_out', reason)


def set_up(settings: Settings, node: str) -> None:
    """Send log lines of the level and above to standard output.

    Each names the node, because lines of many daemons are read together.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    budget = LineBudget(lines_per_second=settings.log_lines_per_second)
    sink = LineSink(descriptor=descriptor, budget=budget, clock=time.monotonic)
    logger.remove()
    logger.configure(extra={'node': node})
    logger.add(
        sink.write,
        format='{message}',
        level=settings.log_level.value,
        backtrace=False,
        diagnose=False,
        catch=False,
    )


_WARNING = logger.level('WARNING').no

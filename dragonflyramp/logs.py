"""Write JSON log lines to standard output, rate-limited, without blocking."""

import json
import logging
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

#: Capacity of the token bucket, in seconds of the average rate; it bounds a
#: burst after an idle period.
_BURST_SECONDS = 10


@attrs.define(eq=False, kw_only=True)
class LineRateLimiter:
    """Limit the average number of lines per second with a token bucket."""

    lines_per_second: float
    _tokens: float = attrs.field(init=False)
    _last_refill_at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = self.lines_per_second * _BURST_SECONDS

    def try_acquire(self, now_seconds: float) -> bool:
        """Take a token for one line; return False if there is none."""
        if self._last_refill_at_seconds is not None:
            elapsed_seconds = now_seconds - self._last_refill_at_seconds
            self._tokens = min(
                self.lines_per_second * _BURST_SECONDS,
                self._tokens + elapsed_seconds * self.lines_per_second,
            )
        self._last_refill_at_seconds = now_seconds
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.define(eq=False, kw_only=True)
class LineSink:
    """Write JSON lines to a non-blocking descriptor, as a sink of loguru.

    Lines below the level WARNING that exceed the rate limit are dropped, and so
    are lines that cannot be written. The next line that is written reports the
    number of dropped lines.
    """

    descriptor: int
    limiter: LineRateLimiter
    clock: Callable[[], float]
    _dropped_line_count: int = 0
    #: Rest of a line that was written only in part.
    _unsent: bytes = b''

    def write(self, message: 'Message') -> None:
        """Write one record as a JSON object."""
        record = message.record
        is_limited = record['level'].no < _WARNING_LEVEL
        if is_limited and not self.limiter.try_acquire(self.clock()):
            self._count_dropped_line('rate')
            return
        fields = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'message': record['message'],
            'module': record['name'],
            **record['extra'],
        }
        if record['exception']:
            fields['exception'] = _describe_exception(record['exception'].value)
        if self._dropped_line_count:
            fields['lines_left_out'] = self._dropped_line_count
        line = json.dumps(fields, default=str, separators=(',', ':'))
        self._write_line(f'{line}\n'.encode())

    def _write_line(self, line: bytes) -> None:
        try:
            written_bytes = os.write(self.descriptor, self._unsent + line)
        except BlockingIOError:
            self._count_dropped_line('full')
            return
        except OSError:
            # The reader closed the pipe, so this failure cannot be logged.
            self._count_dropped_line('closed')
            return
        self._unsent = (self._unsent + line)[written_bytes:]
        self._dropped_line_count = 0

    def _count_dropped_line(self, reason: str) -> None:
        self._dropped_line_count += 1
        counters.add('log_lines_left_out', reason)


class LibraryLogHandler(logging.Handler):
    """Log the lines of libraries without their exceptions.

    aiohttp's exceptions quote the heads of callers, which may hold API keys.
    These lines are limited like others below WARNING, because callers cause
    them.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log and count one line of a library."""
        counters.add('library_log_lines', record.levelname)
        exception_type = record.exc_info[0] if record.exc_info else None
        logger.bind(
            library=record.name,
            exception_type=exception_type and exception_type.__name__,
        ).info('library: {}', record.getMessage())


def _describe_exception(exception: BaseException | None) -> str:
    """Return the `repr`, except that of an exception that has a whole text.

    The text that failed to be encoded or decoded may hold an API key.
    """
    if isinstance(exception, (UnicodeError, BaseExceptionGroup)):
        return f'{type(exception).__name__}({str(exception)!r})'
    return repr(exception)


def configure_logging(settings: Settings, node: str) -> None:
    """Log to standard output at the level and the rate in the settings.

    Each line names the node, because logs of many daemons are read together.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    limiter = LineRateLimiter(lines_per_second=settings.log_lines_per_second)
    sink = LineSink(
        descriptor=descriptor, limiter=limiter, clock=time.monotonic
    )
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
    # Otherwise, Python writes the lines of libraries to standard error.
    logging.basicConfig(
        handlers=[LibraryLogHandler()], level=logging.WARNING, force=True
    )


_WARNING_LEVEL = logger.level('WARNING').no

"""Set up the logs: text, or one JSON object a line, on standard error."""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

from dragonflyramp.settings import LogFormat, Settings

if TYPE_CHECKING:
    from loguru import Message

_TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}'


def set_up(settings: Settings) -> None:
    """Send log lines of the level and above to standard error."""
    is_json = settings.log_format is LogFormat.json
    logger.remove()
    logger.add(
        _write_json if is_json else sys.stderr,
        format=_TEXT_FORMAT,
        level=settings.log_level.value,
        backtrace=False,
        diagnose=False,
    )


def _write_json(message: 'Message') -> None:
    """Write one object with the extra fields at the top level.

    The form that loguru itself serializes repeats the message, names source
    paths of the machine and is several times as long.
    """
    record = message.record
    fields = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'message': record['message'],
        'module': record['name'],
        **record['extra'],
    }
    if record['exception']:
        fields['exception'] = repr(record['exception'].value)
    sys.stderr.write(f'{json.dumps(fields, default=str)}\n')

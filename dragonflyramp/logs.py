"""Set up the logs: text, or one JSON object a line, on standard error."""

import sys

from loguru import logger

from dragonflyramp.settings import LogFormat, Settings

_TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}'


def set_up(settings: Settings) -> None:
    """Send log lines of the level and above to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        format=_TEXT_FORMAT,
        level=settings.log_level.value,
        serialize=settings.log_format is LogFormat.json,
        backtrace=False,
        diagnose=False,
    )

"""Set up the logs: text, or one JSON object a line, on standard error."""

import sys

from loguru import logger

_TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}'


def set_up(*, json_lines: bool, level: str) -> None:
    """Send log lines of the level and above to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        format=_TEXT_FORMAT,
        level=level,
        serialize=json_lines,
        backtrace=False,
        diagnose=False,
    )

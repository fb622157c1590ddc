"""Bound what is decoded from other writers.

A value that is nested too deeply ends the JSON encoder of a daemon that passes
it on, and one that is too large fills the messages between daemons.
"""

from typing import Any

#: Exceptions that the fields of a malformed object raise while it is decoded.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
#: Objects of the product and the platform have at most 6 levels.
MAX_DEPTH = 32
#: Limit on the values in one JSON text. Each takes about 100 bytes of memory
#: once it is parsed, which may be many times its text.
MAX_VALUES = 400_000


def has_few_values(body: bytes | bytearray) -> bool:
    """Return whether a JSON text can be parsed without much memory."""
    # Each value begins at a bracket or follows a comma.
    return sum(map(body.count, (b',', b'[', b'{'))) <= MAX_VALUES


def is_within_limits(
    value: Any,  # noqa: WPS110 - any JSON value
    max_size: int,
) -> bool:
    """Return whether a JSON value is neither too deep nor too large.

    The size counts one for each value, and the characters of texts and keys.
    """
    level = [value]
    size = 0
    for _ in range(MAX_DEPTH):
        size += sum(map(_own_size, level))
        if size > max_size:
            return False
        level = [nested for parent in level for nested in _nested(parent)]
        if not level:
            return True
    return False


def _own_size(value: Any) -> int:  # noqa: WPS110 - any JSON value
    if isinstance(value, str):
        return 1 + len(value)
    if isinstance(value, dict):
        return 1 + sum(map(len, value))
    return 1


def _nested(value: Any) -> Any:  # noqa: WPS110 - any JSON value
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()

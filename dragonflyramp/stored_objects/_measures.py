"""Measure the memory of decoded JSON values."""

import sys
from collections.abc import Iterable
from typing import Any

#: Objects of the product and the platform have at most 6 levels. A value that
#: is nested too deeply ends the JSON encoder of a daemon that passes it on.
_MAX_DEPTH = 32


def measure_bytes(
    value: Any,  # noqa: WPS110 - any JSON value
    max_bytes: int,
) -> int | None:
    """Return the bytes that a value takes; None if too many or too deep."""
    level = [value]
    total_bytes = 0
    for _ in range(_MAX_DEPTH):
        total_bytes += sum(map(_own_bytes, level))
        level = [nested for parent in level for nested in _nested(parent)]
        if total_bytes > max_bytes:
            return None
        if not level:
            return total_bytes
    return None


def _own_bytes(value: Any) -> int:  # noqa: WPS110 - any JSON value
    own_bytes = sys.getsizeof(value)
    if isinstance(value, dict):
        own_bytes += sum(map(sys.getsizeof, value))
    return own_bytes


def _nested(value: Any) -> Iterable[Any]:  # noqa: WPS110 - any JSON value
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()

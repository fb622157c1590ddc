"""Check the fields of suspicions in records and messages.

Each function returns the field or raises TypeError or ValueError.
"""

from typing import Any

from dragonflyramp.suspects import Suspicion

#: Unix times in ms are the largest numbers.
_MAX_COUNT = 100_000_000_000_000
_MAX_TEXT_LENGTH = 200


def decode_suspicion(
    service: Any, request_id: Any, clear_count: Any, crash_rounds: Any
) -> Suspicion:
    """Return the suspicion with these fields."""
    return Suspicion(
        service=require_short_text(service),
        request_id=require_short_text(request_id),
        clear_count=require_count(clear_count),
        crash_rounds=require_count(crash_rounds),
    )


def require_short_text(text: Any) -> str:
    """Return a printable text of limited length."""
    if not isinstance(text, str):
        raise TypeError(text)
    if len(text) > _MAX_TEXT_LENGTH or not text.isprintable():
        raise ValueError(text)
    return text


def require_count(number: Any) -> int:
    """Return a number that is not negative."""
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(number)
    if not 0 <= number <= _MAX_COUNT:
        raise ValueError(number)
    return number

"""Check single fields of decoded objects.

Each function returns the field or raises TypeError or ValueError.
"""

import ipaddress
from typing import Any

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def require_text(field: Any) -> str:
    """Return a printable text that is not empty."""
    if not isinstance(field, str) or not field:
        raise TypeError(field)
    if not field.isprintable():
        raise ValueError(field)
    return field


def require_id(field: Any) -> str:
    """Return a text that can be sent as the value of an HTTP header."""
    text = require_text(field)
    if not text.isascii():
        raise ValueError(field)
    return text


def require_secret(field: Any) -> str:
    """Return a printable ASCII text without the spaces around it.

    Errors do not contain it.
    """
    if not isinstance(field, str) or not field.strip():
        raise TypeError('a secret is no text')
    if not (field.isascii() and field.isprintable()):
        raise ValueError('a secret has other characters than printable ASCII')
    return field.strip()


def require_list(field: Any) -> list[Any]:
    """Return a list."""
    if not isinstance(field, list):
        # The list may hold secrets.
        raise TypeError('a list is required')
    return field


def require_flag(field: Any) -> bool:
    """Return a truth value."""
    if not isinstance(field, bool):
        raise TypeError(field)
    return field


def require_int(field: Any, minimum: int, maximum: int) -> int:
    """Return an integer in a range."""
    # bool is a subclass of int.
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError(field)
    if not minimum <= field <= maximum:
        raise ValueError(field)
    return field


def require_number(field: Any, minimum: float, maximum: float) -> float:
    """Return a finite number in a range."""
    if not isinstance(field, int | float) or isinstance(field, bool):
        raise TypeError(field)
    # A comparison with NaN is false.
    if minimum <= field <= maximum:
        return float(field)
    raise ValueError(field)


def require_address(field: Any) -> str:
    """Return an `IP:port` address."""
    text = require_id(field)
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if len(port) > _MAX_PORT_DIGITS or not port.isdecimal():
        raise ValueError(field)
    require_int(int(port), 1, _MAX_PORT)
    return text

"""Validate single values of the operators' text.

Except for `is_ip_and_port`, the functions are cattrs structure hooks. They
return the valid value, or raise ValueError or TypeError with a message that
is printed after the key.
"""

import ipaddress
import re
from datetime import datetime
from typing import Any

import attrs
import cattrs

from dragonflyramp.converters import strict_converter
from dragonflyramp.models import HoldKind

_NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,99}')
_MAX_PORT = 65535
_PORT_PATTERN = re.compile('[1-9][0-9]{0,4}')
_MAX_STRING_CHARACTERS = 1000
_CONVERTER = strict_converter()


@attrs.frozen
class NumberRange:
    """Validate a number between two inclusive bounds."""

    lower: float
    upper: float

    def __call__(self, raw: object, target: type[float]) -> float:
        """Validate the type and the range of a number."""
        number: float = _CONVERTER.structure(raw, target)
        if self.lower <= number <= self.upper:
            return number
        raise ValueError(f'must be between {self.lower} and {self.upper}')


def validate_printable_string(raw: object, _: object) -> str:
    """Validate a printable string that is neither empty nor too long."""
    text = _CONVERTER.structure(raw, str)
    if text and len(text) <= _MAX_STRING_CHARACTERS and text.isprintable():
        return text
    raise ValueError(
        f'must be 1 to {_MAX_STRING_CHARACTERS} printable characters'
    )


def validate_name(raw: object, _: object) -> str:
    """Validate the name of a service, failure domain, replica or hold."""
    text = _CONVERTER.structure(raw, str)
    if _NAME_PATTERN.fullmatch(text):
        return text
    raise ValueError(f'name must match {_NAME_PATTERN.pattern}')


def validate_ip_and_port(raw: object, _: object) -> str:
    """Validate an address such as 10.0.0.1:8080."""
    text = _CONVERTER.structure(raw, str)
    if is_ip_and_port(text):
        return text
    raise ValueError('must be IP:port')


def is_ip_and_port(text: str) -> bool:
    """Return whether a string is an address such as 10.0.0.1:8080.

    >>> is_ip_and_port('10.0.0.1:8080'), is_ip_and_port('[::1]:8080')
    (True, True)
    >>> is_ip_and_port('10.0.0.1'), is_ip_and_port('host:8080')
    (False, False)
    """
    host, _colon, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return bool(_PORT_PATTERN.fullmatch(port)) and int(port) <= _MAX_PORT


def validate_timestamp(raw: object, _: object) -> str:
    """Validate a date and time in ISO 8601."""
    text = _CONVERTER.structure(raw, str)
    datetime.fromisoformat(text)
    return text


def parse_hold_kind(raw: object, _: object) -> HoldKind:
    """Convert a string to the kind of a hold."""
    kinds = {kind.value: kind for kind in HoldKind}
    if isinstance(raw, str) and raw in kinds:
        return kinds[raw]
    accepted = ' or '.join(kinds)
    raise ValueError(f'must be {accepted}')


def parse_name_list(raw: object, _: object) -> tuple[str, ...]:
    """Validate a list of names; reject a string, which is iterable too."""
    if isinstance(raw, list):
        return tuple(validate_name(name, str) for name in raw)
    raise TypeError('must be a list of names')


def structure_tables(
    converter: cattrs.Converter, raw: object, target: Any
) -> Any:
    """Convert an array of tables to the target type."""
    if isinstance(raw, list):
        return converter.structure(raw, target)
    raise TypeError('must be an array of tables')

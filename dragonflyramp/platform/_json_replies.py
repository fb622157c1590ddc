"""Decode the store's JSON replies, in which single objects may be malformed.

Objects of other writers may hold what `json` rejects or cannot handle: bytes
that are not UTF-8, numbers of thousands of digits, deep nesting. Such an object
is replaced by one with its name and without a spec, and the others stay.
"""

import json
import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

import attrs

from dragonflyramp.metrics import counters
from dragonflyramp.views import Fields

#: A string, or a bracket outside of strings.
_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[][{}]',
    re.DOTALL,
)
_NAME = re.compile(r'"meta"\s*:\s*\{[^{}]*?"name"\s*:\s*"([^"\\]*)"')
_DEPTH_CHANGES = MappingProxyType(
    {**dict.fromkeys('[{', 1), **dict.fromkeys(']}', -1)}
)
#: Depth of the elements of a list in the outermost object.
_ELEMENT_DEPTH = 2
#: Longer numbers are not converted, because the time grows with their square.
_MAX_DIGITS = 18
_REPLACEMENT = '\N{REPLACEMENT CHARACTER}'


def decode_json_object(body: bytes) -> Fields | None:
    """Decode a reply; return None if it is not a JSON object at all."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = _decode_by_element(body.decode(errors='replace'))
    return fields if isinstance(fields, dict) else None


def create_unreadable_object(name: str) -> Fields:
    """Create an object that has its name but names nothing to use."""
    return {'meta': {'name': name}, 'spec': None}


@attrs.frozen
class _Element:
    starts_at: int
    ends_at: int


def _decode_by_element(text: str) -> Any:
    """Decode each element of the lists in the outermost object by itself."""
    outline: list[str] = []
    elements: list[Any] = []
    ends_at = 0
    for element in _find_elements(text):
        # In the outline, an element is its index.
        outline.append(text[ends_at : element.starts_at])
        outline.append(str(len(elements)))
        elements.append(
            _decode_element(text[element.starts_at : element.ends_at])
        )
        ends_at = element.ends_at
    outline.append(text[ends_at:])
    try:
        fields = json.loads(''.join(outline), parse_int=_parse_int)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    return {
        key: [elements[index] for index in listed]
        if isinstance(listed, list)
        else listed
        for key, listed in fields.items()
    }


def _find_elements(text: str) -> Iterator[_Element]:
    """Yield the objects and lists at the depth of elements."""
    depth = 0
    starts_at = 0
    for token in _TOKEN.finditer(text):
        depth_change = _DEPTH_CHANGES.get(token[0], 0)
        if depth_change > 0 and depth == _ELEMENT_DEPTH:
            starts_at = token.start()
        depth += depth_change
        if depth_change < 0 and depth == _ELEMENT_DEPTH:
            yield _Element(starts_at, token.end())


def _decode_element(text: str) -> Any:
    if _REPLACEMENT not in text:
        try:
            return json.loads(text, parse_int=_parse_int, strict=False)
        except (ValueError, RecursionError):
            counters.add('bad_objects', 'unreadable')
    name = _NAME.search(text)
    stub = create_unreadable_object(name[1] if name else '')
    # An event of a watch contains its object.
    return {**stub, 'object': stub, 'tombstone': False}


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)

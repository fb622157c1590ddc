"""Split the JSON of long replies into the objects that they list.

A reply is read piece by piece, and one object of it is kept at a time, so that
its size does not decide on the memory that it takes.
"""

import json
import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

import attrs

from dragonflyramp.object_limits import has_few_values

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_CUT_STRING = rb'(?P<cut>".*)'
_BRACKET = rb'(?P<bracket>[][{}])'
_FLAT = rb'[^][{}"]++|%s' % _STRING
_NESTED = rb'%s|\[(?:%s)*+\]|\{(?:%s)*+\}' % (_FLAT, _FLAT, _FLAT)
_TWICE_NESTED = rb'%s|\[(?:%s)*+\]|\{(?:%s)*+\}' % (_FLAT, _NESTED, _NESTED)
#: A bracket, or a string without an end and all after it.
_TOKEN = re.compile(
    b'|'.join((_STRING, _BRACKET, _CUT_STRING)),
    re.DOTALL,
)
#: The same inside of elements, where values of up to two levels are skipped.
_INNER_TOKEN = re.compile(
    rb'(?:%s)++|%s|%s' % (_TWICE_NESTED, _BRACKET, _CUT_STRING),
    re.DOTALL,
)
_DEPTH_CHANGES = MappingProxyType(
    {b'[': 1, b'{': 1, b']': -1, b'}': -1}  # noqa: WPS221 - four brackets
)
#: Depth of the elements of a list in the outermost object.
_ELEMENT_DEPTH = 2
#: Objects have up to `value_bytes` (1 MiB) in the store; as JSON, a character
#: of two bytes may take six.
_MAX_ELEMENT_BYTES = 4_194_304
#: What a reply may have besides the objects that it lists.
_MAX_OUTLINE_BYTES = 1_048_576
#: Longer numbers are not converted, because the time grows with their square.
_MAX_DIGITS = 18
_COLON = re.compile(rb'\s*:\s*')
_SCALAR = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|\d{1,18}', re.DOTALL)


class SplitError(ValueError):
    """A reply is no JSON object, or lists no objects."""


@attrs.frozen
class Element:
    """Text of an element; only its beginning if it is too large."""

    text: bytes
    is_cut: bool = False


@attrs.define(eq=False)
class ElementSplitter:
    """Split a reply into the elements of its lists, and the outline.

    In the outline, each element is replaced by its index.
    """

    outline: bytearray = attrs.field(factory=bytearray)
    _element_count: int = 0
    _depth: int = 0
    #: What was fed and not passed on yet; inside an element, it begins with it.
    _rest: bytes = b''
    _scanned_count: int = 0
    _is_inside_element: bool = False
    #: Beginning of an element that is too large; the rest of it is skipped.
    _cut_text: bytes | None = None

    def feed(self, piece: bytes) -> Iterator[Element]:
        """Yield the elements that end in the next piece of the reply.

        Raise `SplitError` if the outline is too large.
        """
        text = self._rest + piece
        begins_at = 0
        for token in self._iterate_tokens(text):
            change = _DEPTH_CHANGES.get(token['bracket'], 0)
            if self._depth == _ELEMENT_DEPTH and change > 0:
                self.outline += text[begins_at : token.start()]
                begins_at = token.start()
                self._is_inside_element = True
            self._depth += change
            if self._depth == _ELEMENT_DEPTH and change < 0:
                yield self._end_element(text[begins_at : token.end()])
                begins_at = token.end()
        scanned_count = self._scanned_count
        if not self._is_inside_element:
            self.outline += text[begins_at:scanned_count]
            begins_at = scanned_count
        self._keep_rest(text[begins_at:], scanned_count - begins_at)

    def finish(self) -> Any:
        """Return the decoded outline; raise ValueError if it is malformed."""
        if self._rest.strip():
            raise SplitError('the reply ends inside a value')
        return json.loads(self.outline, parse_int=_parse_int)

    def _iterate_tokens(self, text: bytes) -> Iterator[re.Match[bytes]]:
        """Yield tokens until the end, or until a string without an end."""
        token = self._find_token(text)
        while token is not None and token['cut'] is None:
            self._scanned_count = token.end()
            yield token
            token = self._find_token(text)
        self._scanned_count = len(text) if token is None else token.start()

    def _find_token(self, text: bytes) -> re.Match[bytes] | None:
        is_inside = self._depth > _ELEMENT_DEPTH
        pattern = _INNER_TOKEN if is_inside else _TOKEN
        return pattern.search(text, self._scanned_count)

    def _end_element(self, text: bytes) -> Element:
        self.outline += str(self._element_count).encode()
        self._element_count += 1
        self._is_inside_element = False
        cut_text = self._cut_text
        self._cut_text = None
        return Element(text) if cut_text is None else Element(cut_text, True)

    def _keep_rest(self, rest: bytes, scanned_count: int) -> None:
        """Keep what belongs to later pieces, or the end of it."""
        if len(self.outline) > _MAX_OUTLINE_BYTES:
            raise SplitError('the reply lists no objects')
        if len(rest) > _MAX_ELEMENT_BYTES and self._cut_text is None:
            if not self._is_inside_element:
                raise SplitError('the reply lists no objects')
            self._cut_text = rest[:_MAX_ELEMENT_BYTES]
        if self._cut_text is not None:
            rest = _shorten_string(rest[scanned_count:])
            scanned_count = 0
        self._rest = rest
        self._scanned_count = scanned_count


def decode_element(text: bytes) -> Any:
    """Decode a value; raise ValueError or RecursionError if that fails.

    Values that would take many times their text once decoded are not decoded.
    """
    if not has_few_values(text):
        raise SplitError('too many values')
    return json.loads(text, parse_int=_parse_int, strict=False)


def find_meta(text: bytes, path: tuple[str, ...]) -> dict[str, Any]:
    """Return the name and the revision of an object that cannot be decoded.

    The path is that of the object in the text. What is missing there is missing
    in the result.
    """
    begins_at = 0
    for key in (*path, 'meta'):
        member_at = _find_member(text, begins_at, key)
        if member_at is None:
            return {}
        begins_at = member_at
    name = _decode_scalar(text, _find_member(text, begins_at, 'name'))
    revision = _decode_scalar(text, _find_member(text, begins_at, 'rev'))
    return {} if name is None else {'name': name, 'rev': revision}


def has_true_member(text: bytes, key: str) -> bool:
    """Return whether a member of an object that cannot be decoded is true."""
    member_at = _find_member(text, 0, key)
    return member_at is not None and text.startswith(b'true', member_at)


def _find_member(text: bytes, begins_at: int, key: str) -> int | None:
    """Return where the value of a member of the object at a position begins."""
    quoted_key = json.dumps(key).encode()
    for token in _iterate_members(text, begins_at):
        colon = _COLON.match(text, token.end())
        if token[0] == quoted_key and colon is not None:
            return colon.end()
    return None


def _iterate_members(text: bytes, begins_at: int) -> Iterator[re.Match[bytes]]:
    """Yield the strings in an object, those in nested values excepted."""
    depth = 0
    token = _TOKEN.search(text, begins_at)
    while token is not None and token['cut'] is None:
        depth += _DEPTH_CHANGES.get(token['bracket'], 0)
        if depth == 1 and token['bracket'] is None:
            yield token
        if depth == 0:
            return
        pattern = _TOKEN if depth == 1 else _INNER_TOKEN
        token = pattern.search(text, token.end())


def _decode_scalar(text: bytes, position: int | None) -> Any:
    """Return the text or the number at a position; None if there is none."""
    scalar = None if position is None else _SCALAR.match(text, position)
    if scalar is None:
        return None
    try:
        return json.loads(scalar[0].decode(errors='replace'), strict=False)
    except ValueError:
        return None


def _shorten_string(text: bytes) -> bytes:
    """Shorten a string without its end, so that its end is still found."""
    backslash_count = len(text) - len(text.rstrip(b'\\'))
    shortened = b'"\\' if backslash_count % 2 else b'"'
    return shortened if text else b''


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)

"""Collect the objects of listings and watches, which may be odd."""

import re
from typing import Any, Protocol

import attrs

from dragonflyramp.platform._kept_fields import FieldReducer, reducer_of
from dragonflyramp.platform._reply_elements import find_meta, has_true_member
from dragonflyramp.stored_objects import (
    HeldObjects,
    LeftOutReason,
    create_left_out,
    find_left_out_reason,
    report_unusable,
)
from dragonflyramp.views import Change, Fields

_TOMBSTONE_KEY = 'tombstone'
#: Surrogates have no encoding in a path or query.
_SURROGATE = re.compile('[\ud800-\udfff]')
#: Longer names have no room in the head of a request.
_MAX_NAME_LENGTH = 1024
#: No name with the same beginning comes after it.
_LAST_CHARACTER = '\U0010ffff'


class ElementCollector(Protocol):
    """Collector of the elements of the list in a reply."""

    #: Key of the list.
    list_key: str
    #: Whether the reply has the list, which may be empty.
    has_list: bool

    def add(self, element: Any) -> None:
        """Add an element that was decoded."""

    def add_unreadable(self, text: bytes, reason: LeftOutReason) -> None:
        """Add an element that cannot be decoded."""


@attrs.define(eq=False)
class PageCollector(ElementCollector):
    """Collect the objects of the pages of a listing."""

    kind: str
    held: HeldObjects
    list_key: str = 'items'
    has_list: bool = False
    #: Greatest name of the page, after which the next one begins.
    last_name: str = ''

    def add(self, element: Any) -> None:
        """Add an object."""
        name = _raw_name(element)
        self.last_name = max(self.last_name, _cursor(name))
        if _is_usable(name):
            _put_reduced(self.held, name, element)
        else:
            _report_unnamed(self.kind, name)

    def add_unreadable(self, text: bytes, reason: LeftOutReason) -> None:
        """Add an object that cannot be decoded."""
        self.add(_create_stub(self.kind, text, (), reason))


@attrs.define(eq=False)
class ChangeCollector(ElementCollector):
    """Collect the last change of each object in the events of a watch."""

    kind: str
    held: HeldObjects
    list_key: str = 'events'
    has_list: bool = False
    _names: dict[str, None] = attrs.field(factory=dict)

    def add(self, element: Any) -> None:
        """Add an event."""
        stored_object = (
            element.get('object') if isinstance(element, dict) else None
        )
        name = _raw_name(stored_object)
        if not _is_usable(name):
            _report_unnamed(self.kind, name)
            return
        self._names.pop(name, None)
        self._names[name] = None
        if element.get(_TOMBSTONE_KEY):
            self.held.remove(name)
        else:
            _put_reduced(self.held, name, stored_object)

    def add_unreadable(self, text: bytes, reason: LeftOutReason) -> None:
        """Add an event that cannot be decoded."""
        stub = _create_stub(self.kind, text, ('object',), reason)
        is_removal = has_true_member(text, _TOMBSTONE_KEY)
        self.add({'object': stub, _TOMBSTONE_KEY: is_removal})

    def changes(self) -> tuple[Change, ...]:
        """Return the changes in the order of the last event of each object."""
        held = self.held
        return tuple(
            Change(name, held.by_name.get(name), held.sizes.get(name))
            for name in self._names
        )


def _put_reduced(held: HeldObjects, name: str, stored_object: Any) -> None:
    """Hold what is kept of an object; only its name if that is too much."""
    reason = find_left_out_reason(stored_object)
    if reason is not None:
        held.put(name, create_left_out(name, reason))
        return
    reducer: FieldReducer = reducer_of(held.kind)
    held.put(name, reducer.reduce(stored_object))
    if held.sizes.get(name, 0) > reducer.max_bytes:
        report_unusable(held.kind, name, LeftOutReason.too_large)
        held.put(name, create_left_out(name, LeftOutReason.too_large))


def _create_stub(
    kind: str, text: bytes, path: tuple[str, ...], reason: LeftOutReason
) -> Fields:
    meta = find_meta(text, path)
    name = meta.get('name')
    if isinstance(name, str) and name:
        report_unusable(kind, name, reason)
        return create_left_out(name, reason)
    return {}


def _report_unnamed(kind: str, name: str) -> None:
    printable = name.encode(errors='backslashreplace').decode()
    report_unusable(kind, printable, LeftOutReason.unnamed)


def _is_usable(name: str) -> bool:
    return (
        0 < len(name) <= _MAX_NAME_LENGTH
        and name.isprintable()
        and not _SURROGATE.search(name)
    )


def _cursor(name: str) -> str:
    """Return a text that can be sent, and follows a name in their order.

    Of a name that cannot be sent, only the beginning is kept.
    """
    surrogate = _SURROGATE.search(name)
    cut_at = min(
        surrogate.start() if surrogate else len(name), _MAX_NAME_LENGTH
    )
    return name if cut_at == len(name) else name[:cut_at] + _LAST_CHARACTER


def _raw_name(stored_object: Any) -> str:
    """Return the name of an object; empty if it has none."""
    meta = (
        stored_object.get('meta') if isinstance(stored_object, dict) else None
    )
    name = meta.get('name') if isinstance(meta, dict) else ''
    return name if isinstance(name, str) else ''

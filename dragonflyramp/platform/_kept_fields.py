"""Reduce the objects of the store to the fields that the product reads.

What another writer adds to an object then takes no memory, and costs nothing
where objects are compared or passed on to other daemons.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Protocol

import attrs

from dragonflyramp.platform._store_decoders import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENTRIES_KIND,
    EVACUATIONS_KIND,
)
from dragonflyramp.views import Fields

#: A usable entry of a replica takes about 1.5 KB.
_MAX_ENTRY_BYTES = 16_384
#: A text of `value_bytes` (1 MiB) takes up to about thirty times as much.
_MAX_OBJECT_BYTES = 33_554_432
_META_KEYS = ('name', 'rev', 'created_rev')
_META_KEY = 'meta'
_SPEC_KEY = 'spec'
_START_TIME_KEY = 'born'
_ENTRY_KEYS = (
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'warmup_left_ms',
    _START_TIME_KEY,
)


class FieldReducer(Protocol):
    """Choice of the fields that are kept of the objects of a kind."""

    #: Limit on the memory of what is kept of an object.
    max_bytes: int

    def reduce(self, stored_object: Fields) -> Fields:
        """Return an object with the fields that are kept."""


@attrs.frozen
class WholeObjects(FieldReducer):
    """Keep all fields, for kinds of which the product reads all."""

    max_bytes: int = _MAX_OBJECT_BYTES

    def reduce(self, stored_object: Fields) -> Fields:
        """Return the object itself."""
        return stored_object


@attrs.frozen
class EntryFields(FieldReducer):
    """Keep the fields of a replica's entry."""

    max_bytes: int = _MAX_ENTRY_BYTES

    def reduce(self, stored_object: Fields) -> Fields:
        """Return the entry without `status` and unknown fields of `spec`."""
        return {
            _META_KEY: _reduce_meta(stored_object),
            _SPEC_KEY: _select(stored_object.get(_SPEC_KEY), _ENTRY_KEYS),
            **(_select(stored_object, (_START_TIME_KEY,)) or {}),
        }


@attrs.frozen
class MainObject(FieldReducer):
    """Keep one object of a kind, and no field of the others."""

    main_name: str
    max_bytes: int = _MAX_OBJECT_BYTES

    def reduce(self, stored_object: Fields) -> Fields:
        """Return the main object without `status`, or an empty one."""
        meta = _reduce_meta(stored_object)
        if meta.get('name') != self.main_name:
            return {_META_KEY: meta, _SPEC_KEY: None}
        return {_META_KEY: meta, _SPEC_KEY: stored_object.get(_SPEC_KEY)}


@attrs.frozen
class NamesOnly(FieldReducer):
    """Keep no field but the name, which says it all."""

    max_bytes: int = _MAX_ENTRY_BYTES

    def reduce(self, stored_object: Fields) -> Fields:
        """Return an object without `spec`."""
        return {_META_KEY: _reduce_meta(stored_object)}


def reducer_of(kind: str) -> FieldReducer:
    """Return the reducer for the objects of a kind."""
    return _REDUCERS.get(kind, _WHOLE_OBJECTS)


def _reduce_meta(stored_object: Fields) -> Fields:
    return _select(stored_object.get(_META_KEY), _META_KEYS) or {}


def _select(fields: Any, keys: tuple[str, ...]) -> Fields | None:
    if not isinstance(fields, dict):
        return None
    return {key: fields[key] for key in keys if key in fields}


_WHOLE_OBJECTS = WholeObjects()
_REDUCERS: Mapping[str, FieldReducer] = MappingProxyType(
    {
        CONFIG_KIND: MainObject(CONFIG_NAME),
        ENTRIES_KIND: EntryFields(),
        EVACUATIONS_KIND: NamesOnly(),
    }
)

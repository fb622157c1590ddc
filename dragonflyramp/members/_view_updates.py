"""Define the updates of views in messages, and encode them as JSON values."""

import json
from collections.abc import Hashable, Iterable
from typing import Any

import attrs

from dragonflyramp.members._suspicion_fields import require_count
from dragonflyramp.stored_objects import find_left_out_reason, report_unusable
from dragonflyramp.views import (
    Change,
    ChangeBatch,
    Fields,
    Listing,
)

_ERA_KEY = 'era'
_ALL_KEY = 'all'
_CHANGES_KEY = 'changes'


@attrs.frozen(kw_only=True)
class ViewUpdate:
    """Changes of one view for another daemon; ages are as of sending."""

    kind: str
    revision: int
    age_seconds: float
    #: How long ago the store became available again after an outage.
    outage_age_seconds: float
    era: int = 0
    #: Equal for equal changes of a kind.
    changes_key: Hashable = attrs.field(factory=object)
    #: None if the revision of the other daemon's view is not older, or if the
    #: changes are too large for a message; the other daemon then lists.
    changes: ChangeBatch | Listing | None = None


@attrs.frozen
class _KeyedText:
    key: Hashable
    text: str


@attrs.define(eq=False)
class UpdateEncoder:
    """Encode updates as JSON texts.

    Many daemons lack the same changes at about the same time, so the last text
    of the objects of each kind is kept.
    """

    _texts_by_kind: dict[str, _KeyedText] = attrs.field(factory=dict)

    def encode(self, update: ViewUpdate) -> str:
        """Return the JSON text of an update."""
        fields: Fields = {
            'kind': update.kind,
            'revision': update.revision,
            'age': round(update.age_seconds, 3),
            'outage_age': round(update.outage_age_seconds, 3),
        }
        if update.era:
            fields[_ERA_KEY] = update.era
        text = encode_json(fields)
        if update.changes is None:
            return text
        is_listing = isinstance(update.changes, Listing)
        objects_text = self._encode_objects(update, update.changes)
        return add_member(
            text, _ALL_KEY if is_listing else _CHANGES_KEY, objects_text
        )

    def _encode_objects(
        self, update: ViewUpdate, changes: ChangeBatch | Listing
    ) -> str:
        known = self._texts_by_kind.get(update.kind)
        if known is not None and known.key == update.changes_key:
            return known.text
        text = _encode_changes(changes)
        self._texts_by_kind[update.kind] = _KeyedText(update.changes_key, text)
        return text


def _encode_changes(changes: ChangeBatch | Listing) -> str:
    if isinstance(changes, Listing):
        return encode_json(dict(changes.objects_by_name))
    return encode_json(
        [(change.name, change.fields) for change in changes.changes]
    )


def add_member(text: str, key: str, member_text: str) -> str:
    """Add a member, which is encoded already, to an encoded object."""
    head = text.removesuffix('}')
    return ''.join((head, ',"', key, '":', member_text, '}'))


def encode_json(fields: Any) -> str:
    """Encode JSON values without spaces."""
    return json.dumps(fields, separators=(',', ':'))


def decode_update(fields: Fields) -> ViewUpdate:
    """Decode an update.

    Raise KeyError, TypeError, ValueError or AttributeError if it is malformed.
    """
    return ViewUpdate(
        kind=str(fields['kind']),
        revision=int(fields['revision']),
        era=require_count(fields.get(_ERA_KEY, 0)),
        age_seconds=float(fields['age']),
        outage_age_seconds=float(fields['outage_age']),
        changes=_decode_changes(fields),
    )


def _decode_changes(fields: Fields) -> ChangeBatch | Listing | None:
    revision = int(fields['revision'])
    era = require_count(fields.get(_ERA_KEY, 0))
    listed = fields.get(_ALL_KEY)
    if listed is not None:
        listed_changes = _decode_objects(fields, listed.items())
        return Listing(
            revision,
            {change.name: change.fields or {} for change in listed_changes},
            era,
        )
    encoded = fields.get(_CHANGES_KEY)
    if encoded is None:
        return None
    return ChangeBatch(revision, _decode_objects(fields, encoded), era)


def _decode_objects(
    fields: Fields, named_objects: Iterable[tuple[str, Any]]
) -> tuple[Change, ...]:
    """Decode objects, and report those that the other daemon left out."""
    changes = tuple(
        Change(str(name), object_fields)
        for name, object_fields in named_objects
    )
    for change in changes:
        reason = find_left_out_reason(change.fields)
        if reason is not None:
            report_unusable(str(fields['kind']), change.name, reason)
    return changes

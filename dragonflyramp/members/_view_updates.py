"""Define the updates of views in messages, and encode them as JSON values."""

from collections.abc import Iterable
from typing import Any

import attrs

from dragonflyramp.members._suspicion_fields import require_count
from dragonflyramp.metrics import counters
from dragonflyramp.stored_objects import (
    LeftOutReason,
    create_left_out,
    find_left_out_reason,
    measure_bytes,
    report_left_out,
)
from dragonflyramp.views import Change, ChangeBatch, Fields, Listing

_ERA_KEY = 'era'
#: Limit on the memory of an object in a message.
_MAX_OBJECT_BYTES = 33_554_432


@attrs.frozen(kw_only=True)
class ViewUpdate:
    """Changes of one view for another daemon; ages are as of sending."""

    kind: str
    revision: int
    age_seconds: float
    #: How long ago the store became available again after an outage.
    outage_age_seconds: float
    era: int = 0
    #: None if the revision of the other daemon's view is not older, or if the
    #: changes are too large for a message; the other daemon then lists.
    changes: ChangeBatch | Listing | None = None


def encode_update(update: ViewUpdate) -> Fields:
    """Encode an update as plain JSON values."""
    fields: Fields = {
        'kind': update.kind,
        'revision': update.revision,
        'age': round(update.age_seconds, 3),
        'outage_age': round(update.outage_age_seconds, 3),
    }
    if update.era:
        fields[_ERA_KEY] = update.era
    if isinstance(update.changes, Listing):
        fields['all'] = dict(update.changes.objects_by_name)
    elif update.changes is not None:
        fields['changes'] = [
            (change.name, change.fields) for change in update.changes.changes
        ]
    return fields


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
    listed = fields.get('all')
    if listed is not None:
        listed_changes = _limit_all(fields, listed.items())
        return Listing(
            revision,
            {change.name: change.fields or {} for change in listed_changes},
            era,
        )
    encoded = fields.get('changes')
    if encoded is None:
        return None
    return ChangeBatch(revision, _limit_all(fields, encoded), era)


def _limit_all(
    fields: Fields, named_objects: Iterable[tuple[str, Any]]
) -> tuple[Change, ...]:
    kind = str(fields['kind'])
    return tuple(
        Change(str(name), _limit(kind, str(name), object_fields))
        for name, object_fields in named_objects
    )


def _limit(kind: str, name: str, object_fields: Any) -> Any:
    """Return an object of another daemon; leave it out if it is too large.

    It is None if the object was removed. A daemon that kept one that is too
    deep could not respond to others.
    """
    reason = find_left_out_reason(object_fields)
    if reason is None:
        is_small = measure_bytes(object_fields, _MAX_OBJECT_BYTES) is not None
        if is_small or object_fields is None:
            return object_fields
        reason = LeftOutReason.too_large
        object_fields = create_left_out(name, reason)
    counters.add('bad_objects', reason.value)
    report_left_out(kind, name, reason)
    return object_fields

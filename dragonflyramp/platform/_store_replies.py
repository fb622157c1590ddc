"""Parse the store's listings and watches, in which objects may be odd."""

import re
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import is_within_limits
from dragonflyramp.platform._api_http import ApiReply
from dragonflyramp.platform._json_replies import create_unreadable_object
from dragonflyramp.platform._store_decoders import ENTRIES_KIND
from dragonflyramp.results import ResultCode
from dragonflyramp.views import Change, ChangeBatch, Listing

#: Limit of the platform on the bytes of an object.
_MAX_OBJECT_SIZE = 1024 * 1024
#: Daemons pass entries on to each other. One of a replica has about 300 bytes.
_MAX_ENTRY_SIZE = 16_384
#: Surrogates have no encoding in a path or query.
_SURROGATE = re.compile('[\ud800-\udfff]')


@attrs.frozen
class Page:
    """Page of a listing."""

    listing: Listing
    #: Name after which the next page begins; empty for the last page.
    next_after: str


def parse_page(kind: str, reply: ApiReply) -> Page | None:
    """Parse a page of a listing; return None if it is malformed."""
    fields = reply.fields
    listed_objects = fields.get('items')
    revision = fields.get('at_rev')
    if not isinstance(listed_objects, list) or not isinstance(revision, int):
        return None
    objects_by_name = {
        _object_name(stored_object): _limit(kind, stored_object)
        for stored_object in listed_objects
    }
    if objects_by_name.pop('', None) is not None:
        counters.add('bad_objects', 'unnamed')
    next_after = ''
    if fields.get('has_more'):
        next_after = max(map(_raw_name, listed_objects), default='')
    return Page(Listing(revision, objects_by_name, reply.era), next_after)


def parse_changes(
    kind: str, reply: ApiReply
) -> Result[ChangeBatch, ResultCode]:
    """Parse the changes of a watch; fail with bad_reply."""
    fields = reply.fields
    events = fields.get('events')
    revision = fields.get('at_rev')
    if not isinstance(events, list) or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    changes = (_parse_event(kind, event) for event in events)
    return Success(
        ChangeBatch(revision, tuple(filter(None, changes)), reply.era)
    )


def _parse_event(kind: str, event: Any) -> Change | None:
    """Parse an event of a watch; return None if it names no object."""
    stored_object = event.get('object') if isinstance(event, dict) else None
    name = _object_name(stored_object)
    if not name:
        counters.add('bad_objects', 'unnamed')
        return None
    is_removal = bool(event.get('tombstone'))
    return Change(name, None if is_removal else _limit(kind, stored_object))


def _limit(kind: str, stored_object: Any) -> Any:
    """Remove the spec of an object that is too deep or too large."""
    max_size = _MAX_ENTRY_SIZE if kind == ENTRIES_KIND else _MAX_OBJECT_SIZE
    if is_within_limits(stored_object, max_size):
        return stored_object
    counters.add('bad_objects', 'too_large')
    return create_unreadable_object(_object_name(stored_object))


def _object_name(stored_object: Any) -> str:
    name = _raw_name(stored_object)
    return name if name.isprintable() else ''


def _raw_name(stored_object: Any) -> str:
    """Return the name of an object; empty if it has none or no encoding."""
    meta = (
        stored_object.get('meta') if isinstance(stored_object, dict) else None
    )
    name = meta.get('name') if isinstance(meta, dict) else ''
    if not isinstance(name, str) or _SURROGATE.search(name):
        return ''
    return name

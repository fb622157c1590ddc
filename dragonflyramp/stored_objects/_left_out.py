"""Mark objects that are left out, and report each of them once."""

import enum
from typing import Any

import attrs
from loguru import logger

from dragonflyramp.metrics import counters
from dragonflyramp.stored_objects._fields import Fields

_LEFT_OUT_KEY = 'left_out'
#: Beyond this number of a kind, objects are only counted.
_MAX_REPORTED_NAMES = 256
_MAX_LOGGED_NAME_LENGTH = 200


class LeftOutReason(enum.Enum):
    """Why an object of the store is not used."""

    #: It takes more memory than an object of its kind may, or is too deep.
    too_large = 'too_large'
    #: It cannot be decoded as JSON.
    unreadable = 'unreadable'
    #: Its fields are not those of its kind.
    malformed = 'malformed'
    #: All objects of its kind together take more memory than they may.
    no_room = 'no_room'
    #: It has no name that can be used.
    unnamed = 'unnamed'


def create_left_out(
    name: str, reason: LeftOutReason, meta: Fields | None = None
) -> Fields:
    """Create an object that has its name but names nothing to use."""
    return {
        'meta': {**(meta or {}), 'name': name},
        'spec': None,
        _LEFT_OUT_KEY: reason.value,
    }


def find_left_out_reason(stored_object: Any) -> LeftOutReason | None:
    """Return why an object was left out; None for any other object."""
    if not isinstance(stored_object, dict):
        return None
    if stored_object.get('spec') is not None:
        return None
    reason = stored_object.get(_LEFT_OUT_KEY)
    known = {known_reason.value: known_reason for known_reason in LeftOutReason}
    return known.get(reason) if isinstance(reason, str) else None


@attrs.define(eq=False)
class _Reports:
    """Names that were reported, by kind."""

    _names_by_kind: dict[str, set[str]] = attrs.field(factory=dict)

    def report(self, kind: str, name: str, reason: LeftOutReason) -> None:
        names = self._names_by_kind.setdefault(kind, set())
        name = name[:_MAX_LOGGED_NAME_LENGTH]
        if name in names or len(names) > _MAX_REPORTED_NAMES:
            return
        names.add(name)
        if len(names) > _MAX_REPORTED_NAMES:
            logger.bind(kind=kind).warning(
                'more objects of the store are left out; they are only counted'
            )
            return
        logger.bind(kind=kind, name=name, reason=reason.value).warning(
            'object of the store is left out'
        )


_reports = _Reports()


def report_unusable(kind: str, name: str, reason: LeftOutReason) -> None:
    """Count an object that cannot be held, and log it the first time."""
    counters.add('bad_objects', reason.value)
    log_left_out(kind, name, reason)


def log_left_out(kind: str, name: str, reason: LeftOutReason) -> None:
    """Log an object that is left out, the first time."""
    _reports.report(kind, name, reason)

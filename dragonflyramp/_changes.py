"""Define listings of the store's objects, and changes of them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import attrs

#: Decoded JSON object.
Fields: TypeAlias = dict[str, Any]


def _frozen_copy(objects_by_name: Mapping[str, Fields]) -> Mapping[str, Fields]:
    return MappingProxyType(dict(objects_by_name))


@attrs.frozen
class Listing:
    """All objects of a kind by name, as of one revision."""

    revision: int
    #: A copy, because views and builders go on changing theirs.
    objects_by_name: Mapping[str, Fields] = attrs.field(
        converter=_frozen_copy, repr=False
    )


@attrs.frozen
class Change:
    """One changed object; `fields` is None if it was removed."""

    name: str
    #: Not in the `repr`: the configuration holds API keys.
    fields: Fields | None = attrs.field(repr=False)


@attrs.frozen
class ChangeBatch:
    """Changes between an earlier revision and `revision`, in order."""

    revision: int
    changes: tuple[Change, ...]


@attrs.define(eq=False)
class ListingBuilder:
    """Build a listing of one revision from pages, each of its own.

    The store may serve the pages of a listing at different ages. With all
    changes after the oldest page, they are the objects of the revision up to
    which these changes go.
    """

    #: Revision of the oldest page, or of the last changes.
    revision: int = 0
    _newest_revision: int = 0
    _objects_by_name: dict[str, Fields] = attrs.field(factory=dict, repr=False)

    @property
    def needs_changes(self) -> bool:
        """Return whether the changes after `revision` are missing."""
        return self.revision < self._newest_revision

    def add_page(self, page: Listing) -> None:
        """Add the objects of a page."""
        is_first = not self._newest_revision
        self.revision = (
            page.revision if is_first else min(self.revision, page.revision)
        )
        self._newest_revision = max(self._newest_revision, page.revision)
        self._objects_by_name.update(page.objects_by_name)

    def apply(self, changes: ChangeBatch) -> None:
        """Apply the changes after `revision`."""
        for change in changes.changes:
            apply_change(self._objects_by_name, change)
        self.revision = changes.revision

    def build(self) -> Listing:
        """Return the objects as of `revision`."""
        return Listing(self.revision, self._objects_by_name)


def apply_change(objects_by_name: dict[str, Fields], change: Change) -> None:
    """Change or remove one object."""
    if change.fields is None:
        objects_by_name.pop(change.name, None)
    else:
        objects_by_name[change.name] = change.fields

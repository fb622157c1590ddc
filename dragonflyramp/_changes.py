"""Define listings of the store's objects, and changes of them."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.stored_objects import Fields, HeldObjects


def _frozen_copy(objects_by_name: Mapping[str, Fields]) -> Mapping[str, Fields]:
    return MappingProxyType(dict(objects_by_name))


@attrs.frozen(order=True)
class Position:
    """Point in the history of the store.

    A store that was restored from an older copy gives out the revisions after
    that copy again, in the next era.
    """

    era: int = 0
    revision: int = 0


@attrs.frozen
class Listing:
    """All objects of a kind by name, as of one position."""

    revision: int
    #: A copy, because views and builders go on changing theirs.
    objects_by_name: Mapping[str, Fields] = attrs.field(
        converter=_frozen_copy, repr=False
    )
    era: int = 0
    #: Whether no object was left out for want of room.
    is_complete: bool = True
    #: Bytes that the objects take, as far as they are known.
    sizes: Mapping[str, int] = attrs.field(factory=dict, eq=False, repr=False)

    @property
    def position(self) -> Position:
        """Return the position of which the objects are."""
        return Position(self.era, self.revision)


@attrs.frozen
class Change:
    """One changed object; `fields` is None if it was removed."""

    name: str
    #: Not in the `repr`: the configuration holds API keys.
    fields: Fields | None = attrs.field(repr=False)
    #: Bytes that the object takes, if they are known.
    size: int | None = attrs.field(default=None, eq=False, repr=False)


@attrs.frozen
class ChangeBatch:
    """Changes between an earlier revision of the era and `revision`."""

    revision: int
    changes: tuple[Change, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position after the changes."""
        return Position(self.era, self.revision)


@attrs.define(eq=False)
class ListingBuilder:
    """Build a listing of one revision from pages of one era.

    The store may serve the pages of a listing at different ages. With all
    changes after the oldest page, they are the objects of the revision up to
    which these changes go.
    """

    held: HeldObjects = attrs.field(factory=lambda: HeldObjects(''))
    #: Revision of the oldest page, or of the last changes.
    revision: int = 0
    #: Era of the first page.
    era: int = 0
    _newest_revision: int = 0

    @property
    def needs_changes(self) -> bool:
        """Return whether the changes after `revision` are missing."""
        return self.revision < self._newest_revision

    def add_page(self, page: Listing) -> bool:
        """Add the objects of a page; return false if its era is another."""
        is_first = not self._newest_revision
        if not is_first and page.era != self.era:
            return False
        self.era = page.era
        self.revision = (
            page.revision if is_first else min(self.revision, page.revision)
        )
        self._newest_revision = max(self._newest_revision, page.revision)
        for name, fields in page.objects_by_name.items():
            self.held.put(name, fields)
        return True

    def apply(self, changes: ChangeBatch) -> None:
        """Apply the changes after `revision`."""
        for change in changes.changes:
            apply_change(self.held, change)
        self.revision = changes.revision

    def build(self) -> Listing:
        """Return the objects as of `revision`."""
        return Listing(
            self.revision,
            self.held.by_name,
            self.era,
            is_complete=not self.held.is_incomplete,
            sizes=dict(self.held.sizes),
        )


def apply_change(held: HeldObjects, change: Change) -> set[str]:
    """Change or remove one object; return the names of those left out."""
    if change.fields is not None:
        return held.put(change.name, change.fields, change.size)
    held.remove(change.name)
    return set()

"""Keep local copies of the store's objects, one view for each kind.

A view is updated by a watch on the platform's store or by another daemon. It
never goes back to an older revision. A revision is a number that the store
increments with every change of an object of any kind.
"""

import collections
import math
from collections.abc import Mapping
from typing import Any, TypeAlias

import attrs

#: Decoded JSON object.
Fields: TypeAlias = dict[str, Any]

#: While the store is available, a view is confirmed more often than this, by
#: this daemon's watch or by another daemon. A longer gap counts as an outage.
_OUTAGE_THRESHOLD_SECONDS = 5
#: Number of recent changes that are kept for daemons with an older revision. A
#: daemon that lacks more than these gets a listing.
_MAX_LOGGED_CHANGES = 512


@attrs.frozen
class Listing:
    """All objects of a kind by name, as of one revision."""

    revision: int
    objects_by_name: Mapping[str, Fields]


@attrs.frozen
class Change:
    """One changed object; `fields` is None if it was removed."""

    name: str
    fields: Fields | None


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
    _objects_by_name: dict[str, Fields] = attrs.field(factory=dict)

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
            _apply_change(self._objects_by_name, change)
        self.revision = changes.revision

    def build(self) -> Listing:
        """Return the objects as of `revision`."""
        return Listing(self.revision, self._objects_by_name)


@attrs.frozen
class _LoggedChange:
    revision: int
    change: Change


@attrs.define(eq=False)
class View:
    """Local copy of the objects of one kind, with a log of recent changes."""

    kind: str
    revision: int = 0
    objects_by_name: dict[str, Fields] = attrs.field(factory=dict)
    #: Revision of the last change of this kind; `revision` also counts the
    #: changes of other kinds.
    last_change_revision: int = 0
    #: When the store last confirmed the view, directly or through another
    #: daemon.
    confirmed_at_seconds: float = -math.inf
    #: When the store last became available again after an outage.
    outage_ended_at_seconds: float = -math.inf
    _change_log: collections.deque[_LoggedChange] = attrs.field(
        factory=collections.deque
    )
    #: The log contains every change after this revision.
    _log_start_revision: int = 0

    def age_seconds(self, now_seconds: float) -> float:
        """Return the seconds since the store last confirmed the view."""
        return now_seconds - self.confirmed_at_seconds

    def record_outage_end(self, now_seconds: float) -> None:
        """Record that the store became available again after an outage."""
        self.outage_ended_at_seconds = max(
            self.outage_ended_at_seconds, now_seconds
        )

    def replace(
        self, listing: Listing, confirmed_at_seconds: float
    ) -> set[str]:
        """Replace all objects and return the names of those that changed.

        An older listing is ignored.
        """
        if listing.revision < self.revision:
            return set()
        previous = self.objects_by_name
        is_first_listing = not self.revision
        self.objects_by_name = dict(listing.objects_by_name)
        self.revision = listing.revision
        self._confirm(confirmed_at_seconds)
        names = previous.keys() | self.objects_by_name.keys()
        changed = {
            name
            for name in names
            if previous.get(name) != self.objects_by_name.get(name)
        }
        if changed or is_first_listing:
            self.last_change_revision = listing.revision
            self._change_log.clear()
            self._log_start_revision = listing.revision
        return changed

    def apply(
        self, changes: ChangeBatch, confirmed_at_seconds: float
    ) -> set[str]:
        """Apply changes and return the names of the changed objects.

        Changes that end at an older revision are ignored.
        """
        if changes.revision < self.revision:
            return set()
        names = set()
        for change in changes.changes:
            self._change_log.append(_LoggedChange(changes.revision, change))
            names.add(change.name)
            _apply_change(self.objects_by_name, change)
        self.revision = changes.revision
        if names:
            self.last_change_revision = changes.revision
        self._trim_log()
        self._confirm(confirmed_at_seconds)
        return names

    def changes_since(self, revision: int) -> ChangeBatch | Listing:
        """Return the changes after a revision.

        Return a listing if the log does not reach back to the revision.
        """
        if revision and revision >= self.last_change_revision:
            return ChangeBatch(self.revision, ())
        if revision < self._log_start_revision:
            return Listing(self.revision, self.objects_by_name)
        later_changes = [
            logged.change
            for logged in self._change_log
            if logged.revision > revision
        ]
        return ChangeBatch(self.revision, tuple(later_changes))

    def _confirm(self, confirmed_at_seconds: float) -> None:
        if confirmed_at_seconds <= self.confirmed_at_seconds:
            return
        gap_seconds = confirmed_at_seconds - self.confirmed_at_seconds
        if _OUTAGE_THRESHOLD_SECONDS < gap_seconds < math.inf:
            self.record_outage_end(confirmed_at_seconds)
        self.confirmed_at_seconds = confirmed_at_seconds

    def _trim_log(self) -> None:
        while len(self._change_log) > _MAX_LOGGED_CHANGES:
            self._log_start_revision = self._change_log.popleft().revision


def _apply_change(objects_by_name: dict[str, Fields], change: Change) -> None:
    if change.fields is None:
        objects_by_name.pop(change.name, None)
    else:
        objects_by_name[change.name] = change.fields

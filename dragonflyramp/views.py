"""Keep local copies of the store's objects, one view for each kind.

A view is updated by a watch on the platform's store or by another daemon. It
never goes back to an older position, which is an era and a revision. A revision
is a number that the store increments with every change of an object of any
kind. An era begins when the store is restored from an older copy.

_changes      listings and changes of objects
_change_logs  recent changes, for daemons at an older revision
"""

import math
from collections.abc import Mapping

import attrs

from dragonflyramp._change_logs import ChangeLog
from dragonflyramp._changes import (
    Change,
    ChangeBatch,
    Listing,
    ListingBuilder,
    Position,
    apply_change,
)
from dragonflyramp.runtime import Broadcast
from dragonflyramp.stored_objects import Fields, HeldObjects, ObjectRoom

__all__ = (
    'Change',
    'ChangeBatch',
    'Fields',
    'Listing',
    'ListingBuilder',
    'Position',
    'View',
)

#: While the store is available, a view is confirmed more often than this, by
#: this daemon's watch or by another daemon. A longer gap counts as an outage.
_OUTAGE_THRESHOLD_SECONDS = 5


@attrs.define(eq=False)
class View:  # noqa: WPS214 - seven methods, and the revision alone
    """Local copy of the objects of one kind, with a log of what changed."""

    kind: str
    position: Position = Position()
    #: Position of the last change of this kind; `position` also counts the
    #: changes of other kinds.
    last_change_position: Position = Position()
    #: When the store last confirmed the view, directly or through another
    #: daemon.
    confirmed_at_seconds: float = -math.inf
    #: When the store last became available again after an outage.
    outage_ended_at_seconds: float = -math.inf
    #: When this daemon got the first listing of a new era, by the clock of the
    #: caller; the listing is as of about that time.
    restored_at_seconds: float = -math.inf
    #: Memory that the objects may take.
    max_bytes: int = ObjectRoom().max_bytes('')
    #: Incremented when objects may have changed.
    version: int = 0
    #: Another daemon has changes that are too large for its messages.
    lacks_changes: bool = False
    #: Not in the `repr`: the configuration holds API keys.
    _held: HeldObjects = attrs.field(
        default=attrs.Factory(
            lambda view: HeldObjects(view.kind, view.max_bytes),
            takes_self=True,
        ),
        repr=False,
    )
    _change_log: ChangeLog = attrs.field(factory=ChangeLog)
    #: Wakes tasks that wait for the first listing of a new era.
    new_era: Broadcast = attrs.field(factory=Broadcast, repr=False)

    @property
    def revision(self) -> int:
        """Return the revision of the view; 0 before the first listing."""
        return self.position.revision

    @property
    def objects_by_name(self) -> Mapping[str, Fields]:
        """Return the present objects, which change with the view."""
        return self._held.by_name

    @property
    def needs_listing(self) -> bool:
        """Return whether a listing has objects that no change brings."""
        return self.lacks_changes or self._held.may_be_completed

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

        An older listing is ignored. One of a new era counts as the end of an
        outage: what it lacks may be written again.
        """
        if listing.position < self.position:
            return set()
        previous = self._held.by_name
        previous_position = self.position
        self._hold(listing)
        self.position = listing.position
        self._confirm(confirmed_at_seconds)
        is_restored = bool(previous_position.revision) and (
            listing.era > previous_position.era
        )
        if is_restored:
            self.restored_at_seconds = confirmed_at_seconds
            self.record_outage_end(confirmed_at_seconds)
            self.new_era.wake()
        present = self._held.by_name
        changed = {
            name
            for name in previous.keys() | present.keys()
            if previous.get(name) != present.get(name)
        }
        if changed or is_restored or not previous_position.revision:
            self.last_change_position = listing.position
            self._change_log.restart(listing.revision)
        else:
            # An object may have been created and removed in the meantime.
            self._change_log.add_gap(
                previous_position.revision, listing.revision
            )
        return changed

    def apply(
        self, changes: ChangeBatch, confirmed_at_seconds: float
    ) -> set[str]:
        """Apply changes and return the names of the changed objects.

        Changes that end at an older position are ignored, and those of another
        era, which follow a revision of that era.
        """
        if changes.era != self.position.era or changes.revision < self.revision:
            return set()
        names = set()
        for change in changes.changes:
            for name in (change.name, *apply_change(self._held, change)):
                names.add(name)
                self._change_log.add(name, changes.revision)
        self.position = changes.position
        if names:
            self.version += 1
            self.last_change_position = changes.position
        self._confirm(confirmed_at_seconds)
        return names

    def changes_since(
        self, position: Position, max_bytes: float = math.inf
    ) -> ChangeBatch | Listing | None:
        """Return the last change of each object after a position.

        Return a listing if the log does not reach back to the position, and
        None if the objects take more than a number of bytes.
        """
        names = None
        if position.era == self.position.era:
            names = self._change_log.names_since(position.revision)
        if names is None:
            if self._held.held_bytes > max_bytes:
                return None
            return Listing(
                self.revision, self.objects_by_name, self.position.era
            )
        sizes = self._held.sizes
        if sum(sizes.get(name, 0) for name in names) > max_bytes:
            return None
        return ChangeBatch(
            self.revision,
            tuple(
                Change(name, self.objects_by_name.get(name)) for name in names
            ),
            self.position.era,
        )

    def _hold(self, listing: Listing) -> None:
        """Hold the objects of a listing in place of the present ones."""
        self._held = HeldObjects(
            self.kind, self.max_bytes, is_incomplete=not listing.is_complete
        )
        for name, fields in listing.objects_by_name.items():
            self._held.put(name, fields, listing.sizes.get(name))
        self.lacks_changes = False
        self.version += 1

    def _confirm(self, confirmed_at_seconds: float) -> None:
        if confirmed_at_seconds <= self.confirmed_at_seconds:
            return
        gap_seconds = confirmed_at_seconds - self.confirmed_at_seconds
        if _OUTAGE_THRESHOLD_SECONDS < gap_seconds < math.inf:
            self.record_outage_end(confirmed_at_seconds)
        self.confirmed_at_seconds = confirmed_at_seconds

"""Keep recent changes for daemons whose view is at an older revision."""

import collections

import attrs

from dragonflyramp._changes import Change, ChangeBatch

#: Number of recent changes that are kept. A daemon that lacks more than these
#: gets a listing.
_MAX_LOGGED_CHANGES = 512


@attrs.frozen
class _LoggedChange:
    revision: int
    change: Change


@attrs.define(eq=False)
class ChangeLog:
    """Recent changes of the objects of one kind."""

    _changes: collections.deque[_LoggedChange] = attrs.field(
        factory=collections.deque
    )
    #: The log contains every change after this revision, except those of the
    #: gap.
    _start_revision: int = 0
    #: Objects may have changed after the first and before the second of these
    #: revisions, but are the same at both.
    _gap: tuple[int, int] = (0, 0)

    def restart(self, revision: int) -> None:
        """Drop all changes; those after the revision will be added."""
        self._changes.clear()
        self._start_revision = revision
        self._gap = (revision, revision)

    def add(self, changes: ChangeBatch) -> None:
        """Add the next changes, and drop the oldest ones beyond the limit."""
        self._changes.extend(
            _LoggedChange(changes.revision, change)
            for change in changes.changes
        )
        while len(self._changes) > _MAX_LOGGED_CHANGES:
            self._start_revision = self._changes.popleft().revision

    def add_gap(self, first_revision: int, last_revision: int) -> None:
        """Record revisions between which changes are unknown.

        Of several gaps, the log remembers one that covers all.
        """
        gap_start, gap_end = self._gap
        if gap_start < gap_end:
            first_revision = min(first_revision, gap_start)
        self._gap = (first_revision, last_revision)

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision; None if some are missing."""
        gap_start, gap_end = self._gap
        if revision < self._start_revision or gap_start < revision < gap_end:
            return None
        return tuple(
            logged.change
            for logged in self._changes
            if logged.revision > revision
        )

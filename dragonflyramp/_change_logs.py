"""Keep which objects changed lately, for daemons at an older revision."""

import attrs

#: Number of objects whose last change is kept, and characters of their names. A
#: daemon that lacks more than these gets a listing.
_MAX_LOGGED_CHANGES = 512
_MAX_LOGGED_CHARS = 65_536


@attrs.define(eq=False)
class ChangeLog:
    """Names of the objects of one kind that changed lately.

    Their content is in the view: a daemon that lacks several changes of an
    object needs the last one only.
    """

    #: Revision of the last change by name, the earliest one first.
    _revisions: dict[str, int] = attrs.field(factory=dict)
    _char_count: int = 0
    #: The log contains every change after this revision, except those of the
    #: gap.
    _start_revision: int = 0
    #: Objects may have changed after the first and before the second of these
    #: revisions, but are the same at both.
    _gap: tuple[int, int] = (0, 0)

    def restart(self, revision: int) -> None:
        """Drop all changes; those after the revision will be added."""
        self._revisions.clear()
        self._char_count = 0
        self._start_revision = revision
        self._gap = (revision, revision)

    def add(self, name: str, revision: int) -> None:
        """Add the next change, and drop the oldest ones beyond the limits."""
        if self._revisions.pop(name, None) is None:
            self._char_count += len(name)
        self._revisions[name] = revision
        while (
            len(self._revisions) > _MAX_LOGGED_CHANGES
            or self._char_count > _MAX_LOGGED_CHARS
        ):
            oldest = next(iter(self._revisions))
            self._char_count -= len(oldest)
            self._start_revision = self._revisions.pop(oldest)

    def add_gap(self, first_revision: int, last_revision: int) -> None:
        """Record revisions between which changes are unknown.

        Of several gaps, the log remembers one that covers all.
        """
        gap_start, gap_end = self._gap
        if gap_start < gap_end:
            first_revision = min(first_revision, gap_start)
        self._gap = (first_revision, last_revision)

    def names_since(self, revision: int) -> tuple[str, ...] | None:
        """Return what changed after a revision; None if some are missing."""
        gap_start, gap_end = self._gap
        if revision < self._start_revision or gap_start < revision < gap_end:
            return None
        return tuple(
            name
            for name, changed_revision in self._revisions.items()
            if changed_revision > revision
        )

"""Say what daemons tell one another, and take over what others tell."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from dragonflyramp.members._rosters import Daemon, Roster
from dragonflyramp.views import Change, Changes, Fields, Listing, View

#: Called with the kind of a view and the names of the objects that changed.
OnChange = Callable[[str, set[str]], None]


@attrs.frozen(kw_only=True)
class Told:
    """Hold what one view tells another; ages count from when it was sent."""

    kind: str
    revision: int
    age_seconds: float
    changes: Changes | Listing | None = None
    #: Changes fit only a view that has at least this revision.
    base_revision: int = 0


@attrs.frozen(kw_only=True)
class Message:
    """Hold what one daemon tells another in one exchange."""

    sender: Daemon
    is_leaving: bool
    roster: Mapping[Daemon, float]
    told: tuple[Told, ...]


@attrs.define(eq=False)
class Book:
    """Hold the views and the roster of one daemon."""

    roster: Roster
    views: Mapping[str, View]
    on_change: OnChange
    is_leaving: bool = False
    #: The revisions that each other daemon is known to have.
    _known: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def message(self, peer_name: str, now_seconds: float) -> Message:
        """Write what a peer lacks; an unknown peer lacks nothing yet."""
        known = self._known.get(peer_name, {})
        return Message(
            sender=self.roster.own,
            is_leaving=self.is_leaving,
            roster=self.roster.ages(now_seconds),
            told=tuple(
                _tell(view, known.get(view.kind), now_seconds)
                for view in self.views.values()
            ),
        )

    def lacks(self, peer_name: str) -> bool:
        """Tell whether a peer is known to have an older revision."""
        known = self._known.get(peer_name, {})
        return any(
            _is_behind(known.get(view.kind), view)
            for view in self.views.values()
        )

    def note_sent(self, peer_name: str, message: Message) -> None:
        """Note the revisions that a peer has after it took a message."""
        self._note(peer_name, message.told)

    def take(self, message: Message, now_seconds: float) -> None:
        """Take over what is newer."""
        for daemon, age_seconds in message.roster.items():
            self.roster.hear(daemon, now_seconds - age_seconds)
        if message.is_leaving:
            self.roster.remove(message.sender.name)
        else:
            self.roster.hear(message.sender, now_seconds)
        self._known[message.sender.name] = {}
        self._note(message.sender.name, message.told)
        for told in message.told:
            self._take_told(told, now_seconds)

    def _take_told(self, told: Told, now_seconds: float) -> None:
        view = self.views.get(told.kind)
        if view is None or told.revision < view.revision:
            return
        confirmed_seconds = now_seconds - told.age_seconds
        names: set[str] = set()
        if isinstance(told.changes, Listing):
            names = view.replace(told.changes, confirmed_seconds)
        elif told.changes is not None:
            if view.revision < told.base_revision:
                return
            names = view.apply(told.changes, confirmed_seconds)
        elif told.revision == view.revision:
            view.apply(Changes(told.revision, ()), confirmed_seconds)
        if names:
            self.on_change(view.kind, names)

    def _note(self, peer_name: str, told: Iterable[Told]) -> None:
        known = self._known.setdefault(peer_name, {})
        for one in told:
            before = known.get(one.kind, 0)
            known[one.kind] = max(before, one.revision)


def encode_message(message: Message) -> Fields:
    """Encode a message as plain JSON values."""
    return {
        'sender': attrs.astuple(message.sender),
        'leaving': message.is_leaving,
        'roster': [
            (*attrs.astuple(daemon), round(age_seconds, 3))
            for daemon, age_seconds in message.roster.items()
        ],
        'told': [_encode_told(told) for told in message.told],
    }


def decode_message(fields: Any) -> Message:
    """Decode a message; raise KeyError, TypeError or ValueError."""
    return Message(
        sender=Daemon(*fields['sender']),
        is_leaving=bool(fields['leaving']),
        roster={
            Daemon(*daemon): float(age_seconds)
            for *daemon, age_seconds in fields['roster']
        },
        told=tuple(_decode_told(told) for told in fields['told']),
    )


def _is_behind(known_revision: int | None, view: View) -> bool:
    """Tell whether a peer is known to have an older revision."""
    return known_revision is not None and known_revision < view.revision


def _tell(view: View, known_revision: int | None, now_seconds: float) -> Told:
    changes = None
    if known_revision is not None and _is_behind(known_revision, view):
        changes = view.since(known_revision)
    return Told(
        kind=view.kind,
        revision=view.revision,
        age_seconds=min(view.age_seconds(now_seconds), _OLDEST_SECONDS),
        changes=changes,
        base_revision=known_revision or 0,
    )


def _encode_told(told: Told) -> Fields:
    fields: Fields = {
        'kind': told.kind,
        'revision': told.revision,
        'age': round(told.age_seconds, 3),
        'base': told.base_revision,
    }
    if isinstance(told.changes, Listing):
        fields['all'] = dict(told.changes.stored)
    elif told.changes is not None:
        fields['changes'] = [
            (change.name, change.stored) for change in told.changes.changes
        ]
    return fields


def _decode_told(fields: Fields) -> Told:
    revision = int(fields['revision'])
    changes: Changes | Listing | None = None
    listed = fields.get('all')
    changed = fields.get('changes')
    if listed is not None:
        changes = Listing(revision, dict(listed))
    elif changed is not None:
        pairs = tuple(Change(name, stored) for name, stored in changed)
        changes = Changes(revision, pairs)
    return Told(
        kind=str(fields['kind']),
        revision=revision,
        age_seconds=float(fields['age']),
        changes=changes,
        base_revision=int(fields['base']),
    )


#: JSON has no infinity; an older view is as good as none.
_OLDEST_SECONDS = 1e6

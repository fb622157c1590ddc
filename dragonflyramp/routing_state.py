"""Keep the routing table and the known replicas up to date from the views."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs
from loguru import logger

from dragonflyramp.backends import (
    Fleet,
    Replica,
    expire_notices,
    hold_domains,
)
from dragonflyramp.metrics import counters
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import RoutingTable
from dragonflyramp.stored_objects import (
    LeftOutReason,
    find_left_out_reason,
    log_left_out,
)
from dragonflyramp.views import Fields, View

#: Delay of removals after an outage of the store. Replicas whose entries
#: expired during it register again within about two seconds; a replica that is
#: still missing then is removed.
_REMOVAL_DELAY_SECONDS = 2.2
#: At least this many removals at once, and at least this share of the entries,
#: indicate an outage during which this daemon made no call.
_MASS_REMOVAL_MIN_COUNT = 4
_MASS_REMOVAL_SHARE = 0.25
_REMOVAL_CHECK_INTERVAL_SECONDS = 0.2
_MAX_LOGGED_DOMAINS = 64


class ObjectDecoder(Protocol):
    """Decoder of the store's objects; returns None for a malformed one."""

    config_kind: str
    entries_kind: str
    holds_kind: str

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return all kinds to watch."""
        return (self.config_kind, self.holds_kind, self.entries_kind)

    def decode_table(
        self, objects_by_name: Mapping[str, Fields]
    ) -> RoutingTable | None:
        """Decode the configuration.

        Return None if it is missing, incomplete or malformed.
        """

    def decode_entry(self, stored_object: Fields) -> ReplicaEntry | None:
        """Decode one replica's entry."""

    def decode_held_domains(
        self, objects_by_name: Mapping[str, Fields]
    ) -> frozenset[str] | None:
        """Decode the names of the failure domains on hold.

        Operators have taken these failure domains out of service. Return None
        if the holds cannot be read; then the last ones stay in force.
        """


@attrs.define(eq=False, kw_only=True)
class RoutingState:
    """Routing table in force and fleet of known replicas, from the views."""

    views: Mapping[str, View]
    decoder: ObjectDecoder
    fleet: Fleet
    clock: Callable[[], float]
    table: RoutingTable | None = None
    #: Whether the holds in force are those in the store.
    are_holds_readable: bool = True
    #: Names of the entries that are malformed.
    skipped_entries: set[str] = attrs.field(factory=set)
    #: Due times of delayed removals, and of older entries after a restore, by
    #: entry name, in seconds of `clock`.
    _pending_removals: dict[str, float] = attrs.field(factory=dict)
    #: When holds end that the store lacks after a restore; None without any.
    _holds_due_at_seconds: float | None = None
    #: Whether the configuration of the view is older than the one in force.
    _is_view_older: bool = False

    @property
    def has_synced(self) -> bool:
        """Return whether a table is in force and every kind has been read."""
        return self.table is not None and all(
            view.revision for view in self.views.values()
        )

    def apply_changes(self, kind: str, names: set[str]) -> None:
        """Apply the objects that changed in the view of a kind."""
        if kind == self.decoder.config_kind:
            self._apply_table()
        if kind == self.decoder.holds_kind:
            self._apply_holds()
        elif kind == self.decoder.entries_kind:
            now_seconds = self.clock()
            if _is_mass_removal(self.views[kind], names):
                self.views[kind].record_outage_end(now_seconds)
            for name in names:
                self._apply_entry(name, now_seconds)

    async def run(self) -> None:
        """Remove replicas and notices that are due, until cancelled."""
        while True:
            await asyncio.sleep(_REMOVAL_CHECK_INTERVAL_SECONDS)
            now_seconds = self.clock()
            self.remove_due_replicas(now_seconds)
            expire_notices(self.fleet, now_seconds)

    def remove_due_replicas(self, now_seconds: float) -> None:
        """Remove the replicas that have not registered again in time.

        End the holds that operators have not written again in time.
        """
        holds_due_at_seconds = self._holds_due_at_seconds
        if holds_due_at_seconds is not None:
            if now_seconds >= holds_due_at_seconds:
                self._apply_holds()
        due = [
            name
            for name, due_at_seconds in self._pending_removals.items()
            if now_seconds >= due_at_seconds
        ]
        entries = self.views[self.decoder.entries_kind].objects_by_name
        for name in due:
            self._pending_removals.pop(name)
            if name in entries:
                self._apply_entry(name, now_seconds)
            else:
                self.fleet.update(name, None, now_seconds)

    def _apply_table(self) -> None:
        table = self.decoder.decode_table(
            self.views[self.decoder.config_kind].objects_by_name
        )
        if table is None:
            counters.add('bad_objects', 'config')
            logger.error(
                'stored configuration is missing, incomplete or malformed; '
                'it is not applied'
            )
            return
        self._is_view_older = (
            self.table is not None and table.version < self.table.version
        )
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logger.bind(version=table.version, routes=len(table.routes)).info(
            'configuration in force'
        )

    def _apply_holds(self) -> None:
        """Apply the holds; after a restore, keep missing ones for a while.

        The text contains the holds, and an older text is not applied.
        """
        self._holds_due_at_seconds = None
        decoder = self.decoder
        if decoder.holds_kind == decoder.config_kind and self._is_view_older:
            return
        view = self.views[decoder.holds_kind]
        held_domains = decoder.decode_held_domains(view.objects_by_name)
        self.are_holds_readable = held_domains is not None
        due_at_seconds = view.restored_at_seconds + _REMOVAL_DELAY_SECONDS
        if held_domains is not None and self.clock() < due_at_seconds:
            if self.fleet.held_domains - held_domains:
                self._holds_due_at_seconds = due_at_seconds
            held_domains |= self.fleet.held_domains
        _update_held_domains(self.fleet, held_domains)

    def _apply_entry(self, name: str, now_seconds: float) -> None:
        view = self.views[self.decoder.entries_kind]
        stored_object = view.objects_by_name.get(name)
        if stored_object is None:
            due_at_seconds = (
                view.outage_ended_at_seconds + _REMOVAL_DELAY_SECONDS
            )
            if now_seconds < due_at_seconds:
                self._pending_removals[name] = due_at_seconds
                return
        self._pending_removals.pop(name, None)
        self.skipped_entries.discard(name)
        entry = None
        if stored_object is not None:
            entry = self.decoder.decode_entry(stored_object)
            if entry is None:
                self.skipped_entries.add(name)
                counters.add('bad_objects', 'entry')
                reason = find_left_out_reason(stored_object)
                log_left_out(view.kind, name, reason or LeftOutReason.malformed)
        known = self.fleet.all_replicas().get(name)
        due_at_seconds = view.restored_at_seconds + _REMOVAL_DELAY_SECONDS
        if now_seconds < due_at_seconds and _is_older(entry, known):
            # After a restore, the replica writes its entry again.
            self._pending_removals[name] = due_at_seconds
            return
        self.fleet.update(name, entry, now_seconds)


def _is_older(entry: ReplicaEntry | None, known: Replica | None) -> bool:
    """Return whether an entry is probably from before the known one."""
    if entry is None or known is None:
        return False
    if entry.start_time_ms != known.entry.start_time_ms:
        return entry.start_time_ms < known.entry.start_time_ms
    return known.entry.state is ReplicaState.draining and (
        entry.state is ReplicaState.ready
    )


def _is_mass_removal(view: View, names: set[str]) -> bool:
    """Return whether enough entries were removed to indicate an outage."""
    removed_count = len(names - view.objects_by_name.keys())
    previous_count = len(view.objects_by_name) + removed_count
    return removed_count >= max(
        _MASS_REMOVAL_MIN_COUNT, previous_count * _MASS_REMOVAL_SHARE
    )


def _update_held_domains(
    fleet: Fleet, held_domains: frozenset[str] | None
) -> None:
    """Set the failure domains on hold, and log a change.

    If the stored ones cannot be read, the last ones stay in force.
    """
    if held_domains is None:
        counters.add('bad_objects', 'holds')
        logger.bind(
            domains=sorted(fleet.held_domains)[:_MAX_LOGGED_DOMAINS]
        ).error('stored holds cannot be read; the last ones stay in force')
        return
    if held_domains != fleet.held_domains:
        hold_domains(fleet, held_domains)
        logger.bind(
            domains=sorted(held_domains)[:_MAX_LOGGED_DOMAINS],
            count=len(held_domains),
        ).info('failure domains held')

"""Track the daemons that are registered or in recent contact with this one."""

from collections.abc import Mapping
from typing import Any

import attrs

from dragonflyramp.metrics import counters
from dragonflyramp.rendezvous import rendezvous_hash
from dragonflyramp.stored_objects import (
    LeftOutReason,
    find_left_out_reason,
    log_left_out,
)
from dragonflyramp.views import Fields

#: Kind of the daemons' entries in the store.
DAEMONS_KIND = 'dragonflyramp-daemons'
#: A daemon may go on sending requests to replicas after its last message to
#: this one, so it keeps its share of the limits for this long.
_CONTACT_TTL_SECONDS = 60

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5

_ADDRESS_KEY = 'address'
_FAILURE_DOMAIN_KEY = 'failure_domain'


@attrs.frozen
class Daemon:
    """One daemon; `address` is that of its gRPC server, empty without one."""

    name: str
    address: str
    failure_domain: str

    def as_spec(self) -> Fields:
        """Return the spec of the daemon's entry in the store."""
        return {
            _ADDRESS_KEY: self.address,
            _FAILURE_DOMAIN_KEY: self.failure_domain,
        }


@attrs.frozen
class _Contact:
    daemon: Daemon
    contacted_at_seconds: float


@attrs.define(eq=False)
class Membership:
    """Known daemons: registered ones, and those in recent contact."""

    own_daemon: Daemon
    #: Incremented when the known daemons may have changed.
    version: int = 0
    _registered: dict[str, Daemon] = attrs.field(factory=dict)
    _contacts: dict[str, _Contact] = attrs.field(factory=dict)
    _hub_order: tuple[Daemon, ...] = ()

    def update_registered(self, objects_by_name: Mapping[str, Fields]) -> None:
        """Replace the registered daemons; skip malformed entries."""
        decoded = filter(None, map(_decode_daemon, objects_by_name.items()))
        self._registered = {daemon.name: daemon for daemon in decoded}
        self._invalidate()

    def record_contact(self, daemon: Daemon, now_seconds: float) -> None:
        """Record a request or response from another daemon."""
        previous = self._contacts.get(daemon.name)
        self._contacts[daemon.name] = _Contact(daemon, now_seconds)
        if previous is None or previous.daemon != daemon:
            self._invalidate()

    def expire_contacts(self, now_seconds: float) -> None:
        """Drop daemons without recent contact."""
        expired = {
            name
            for name, contact in self._contacts.items()
            if now_seconds - contact.contacted_at_seconds > _CONTACT_TTL_SECONDS
        }
        for name in expired:
            self._contacts.pop(name)
        if expired - self._registered.keys():
            self._invalidate()

    def names_without_contact(self) -> tuple[str, ...]:
        """Return the names of registered daemons without recent contact."""
        return tuple(
            name
            for name in self._registered
            if name != self.own_daemon.name and name not in self._contacts
        )

    def hub_order(self) -> tuple[Daemon, ...]:
        """Return all known daemons in the order in which they become hubs.

        It is the same on all daemons that know the same daemons.
        """
        if not self._hub_order:
            daemons = {
                name: contact.daemon for name, contact in self._contacts.items()
            }
            daemons.update(self._registered)
            daemons[self.own_daemon.name] = self.own_daemon
            self._hub_order = tuple(
                sorted(daemons.values(), key=_hub_order_key)
            )
        return self._hub_order

    def _invalidate(self) -> None:
        self.version += 1
        self._hub_order = ()


def _decode_daemon(named_entry: tuple[str, Fields]) -> Daemon | None:
    name, fields = named_entry
    spec = fields.get('spec')
    if not isinstance(spec, dict):
        if find_left_out_reason(fields) is None:
            log_left_out(DAEMONS_KIND, name, LeftOutReason.malformed)
        return None
    try:
        return decode_daemon(
            name, spec.get(_ADDRESS_KEY, ''), spec.get(_FAILURE_DOMAIN_KEY, '')
        )
    except (TypeError, ValueError):
        counters.add('bad_objects', 'daemon')
        log_left_out(DAEMONS_KIND, name, LeftOutReason.malformed)
        return None


def decode_daemon(name: Any, address: Any, failure_domain: Any) -> Daemon:
    """Check the fields of another daemon; raise TypeError or ValueError."""
    for field in (name, address, failure_domain):
        if not isinstance(field, str):
            raise TypeError(field)
        if not field.isprintable():
            raise ValueError(field)
    if address and not _has_valid_port(address):
        raise ValueError(address)
    return Daemon(name, address, failure_domain)


def _has_valid_port(address: str) -> bool:
    # gRPC would take a greater port modulo 65536.
    port = address.rpartition(':')[2]
    if len(port) > _MAX_PORT_DIGITS or not port.isdecimal():
        return False
    return 0 < int(port) <= _MAX_PORT


def _hub_order_key(daemon: Daemon) -> bytes:
    return rendezvous_hash('hub', daemon.name)

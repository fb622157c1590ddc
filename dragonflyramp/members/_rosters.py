"""Know which daemons there are and which of them watch the store."""

import hashlib
from collections.abc import Mapping

import attrs

#: A daemon that nobody heard for this long is not counted on to watch.
_LIVE_SECONDS = 4
#: A daemon may be up behind a cut, and still send, for this long at least.
_COUNTED_SECONDS = 60
#: A store that turns away a third of the daemons, or the loss of a failure
#: domain, leaves one of four watchers in different domains. Each event ends
#: one priced call of every watcher.
_WATCHERS = 4


@attrs.frozen
class Daemon:
    """Identify one daemon; `address` is that of its member service."""

    name: str
    address: str
    failure_domain: str


@attrs.define
class _Heard:
    daemon: Daemon
    heard_seconds: float


@attrs.define(eq=False)
class Roster:
    """List the known daemons with the time at which each was last heard."""

    own: Daemon
    _others: dict[str, _Heard] = attrs.field(factory=dict)

    def hear(self, daemon: Daemon, heard_seconds: float) -> None:
        """Note a daemon that lived at a time; a newer address wins."""
        if daemon.name == self.own.name:
            return
        known = self._others.get(daemon.name)
        if known is None or heard_seconds > known.heard_seconds:
            self._others[daemon.name] = _Heard(daemon, heard_seconds)

    def remove(self, name: str) -> None:
        """Forget a daemon that said that it stops."""
        self._others.pop(name, None)

    def others(self) -> tuple[Daemon, ...]:
        """List the other known daemons."""
        return tuple(one.daemon for one in self._others.values())

    def ages(self, now_seconds: float) -> Mapping[Daemon, float]:
        """Tell how long ago each other daemon was heard."""
        return {
            one.daemon: now_seconds - one.heard_seconds
            for one in self._others.values()
        }

    def counted(self, now_seconds: float) -> int:
        """Count the daemons that may be sending, this one included."""
        return 1 + sum(
            now_seconds - one.heard_seconds < _COUNTED_SECONDS
            for one in self._others.values()
        )

    def is_watcher(self, kind: str, now_seconds: float) -> bool:
        """Tell whether this daemon is among those that watch a kind."""
        live = [
            one.daemon
            for one in self._others.values()
            if now_seconds - one.heard_seconds < _LIVE_SECONDS
        ]
        ranked = sorted(
            (self.own, *live), key=lambda daemon: _rank(kind, daemon)
        )
        first_of_domains: dict[str, Daemon] = {}
        for daemon in ranked:
            first_of_domains.setdefault(daemon.failure_domain, daemon)
        return self.own in tuple(first_of_domains.values())[:_WATCHERS]


def _rank(kind: str, daemon: Daemon) -> bytes:
    text = f'{kind}/{daemon.name}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

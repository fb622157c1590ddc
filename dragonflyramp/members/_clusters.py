"""Select the hubs, and rank this daemon among the daemons.

Hubs watch the store. Every daemon long-polls the hubs for changes: one of them
is its primary hub, and the others are backups.
"""

import math

import attrs

from dragonflyramp.bounded_maps import drop_oldest
from dragonflyramp.members._memberships import Daemon, Membership
from dragonflyramp.rendezvous import rendezvous_hash

#: With four hubs in different failure domains, at least one keeps watching
#: when the store refuses a third of the daemons or a domain is lost. Each
#: further hub adds cost, because a change ends one watch call of every hub, and
#: the platform bills each call.
_HUB_COUNT = 4
#: With a second hub, changes still arrive until the failure of the first hub
#: is detected.
_MIN_HUB_COUNT = 2
#: How long a request to the primary hub waits for changes. A stopped hub is
#: detected only after this wait, and a new configuration has to arrive within
#: 3 s.
_PRIMARY_WAIT_SECONDS = 1.0
#: Backup hubs get fewer requests, because they are needed only when the
#: primary hub does not respond.
_BACKUP_WAIT_SECONDS = 2.0
#: Limits on the rate of all requests to primary hubs together, and on the rate
#: to each backup hub. In larger clusters, requests wait longer to keep to them.
_PRIMARY_REQUESTS_PER_SECOND = 100
_BACKUP_REQUESTS_PER_SECOND = 40
#: A daemon counts as isolated if it receives no response for the wait of a
#: request to its primary hub plus this margin.
_ISOLATION_MARGIN_SECONDS = 1.5
#: Limit on the ranks that are kept. Keys are services and replicas.
_MAX_RANKS = 16_384


@attrs.define(eq=False)
class DaemonHealth:
    """Daemons that do not respond to this one or have lost the store."""

    #: Names of daemons that do not respond.
    unreachable: set[str] = attrs.field(factory=set)
    #: Names of daemons that cannot reach the store, by their own report.
    without_store: set[str] = attrs.field(factory=set)
    _last_response_at_seconds: float = -math.inf

    def record_response(
        self, name: str, now_seconds: float, *, is_store_lost: bool
    ) -> None:
        """Record a response of a daemon, and whether it has lost the store."""
        self._last_response_at_seconds = now_seconds
        self.unreachable.discard(name)
        self.record_store_state(name, is_lost=is_store_lost)

    def mark_unreachable(self, name: str) -> None:
        """Exclude a daemon from the hubs until it responds again."""
        self.unreachable.add(name)

    def record_store_state(self, name: str, *, is_lost: bool) -> None:
        """Record whether a daemon has lost the store."""
        if is_lost:
            self.without_store.add(name)
        else:
            self.without_store.discard(name)

    def response_age_seconds(self, now_seconds: float) -> float:
        """Return the seconds since the last response of any daemon."""
        return now_seconds - self._last_response_at_seconds


@attrs.define(eq=False)
class Cluster:
    """Select the hubs among the known daemons, and rank this daemon."""

    membership: Membership
    daemon_health: DaemonHealth = attrs.field(factory=DaemonHealth)
    _ranks: dict[str, int] = attrs.field(factory=dict)
    _ranks_version: int = 0

    @property
    def own_daemon(self) -> Daemon:
        """Return this daemon."""
        return self.membership.own_daemon

    def daemon_count(self) -> int:
        """Return the number of known daemons, including this one.

        They share the limits on requests and retries, because each may
        send requests to replicas.
        """
        return len(self.membership.hub_order())

    def rank(self, key: str) -> int:
        """Return how many daemons precede this one in the order for a key.

        The order differs from key to key, so that each daemon is the first for
        about as many keys as any other.
        """
        if self._ranks_version != self.membership.version:
            self._ranks_version = self.membership.version
            self._ranks.clear()
        rank = self._ranks.get(key)
        if rank is None:
            own_hash = rendezvous_hash(key, self.own_daemon.name)
            rank = sum(
                rendezvous_hash(key, daemon.name) < own_hash
                for daemon in self.membership.hub_order()
            )
            self._ranks[key] = rank
            drop_oldest(self._ranks, _MAX_RANKS)
        return rank

    def hubs(self) -> list[Daemon]:
        """Return the daemons that watch the store and update the others.

        These are the first daemons of up to `_HUB_COUNT` failure domains in the
        hub order. The next daemons in the hub order are hubs as well: one for
        each hub that has lost the store, or more to reach `_MIN_HUB_COUNT`.
        """
        hubs, others = _first_of_domains(self)
        hubs_without_store_count = sum(
            hub.name in self.daemon_health.without_store for hub in hubs
        )
        substitute_count = max(
            hubs_without_store_count, _MIN_HUB_COUNT - len(hubs)
        )
        return hubs + others[:substitute_count]

    def is_hub(self) -> bool:
        """Return whether this daemon is a hub."""
        return self.own_daemon in self.hubs()

    def poll_wait_seconds(self, *, is_primary: bool) -> float:
        """Return how many seconds a request to a hub waits for changes."""
        if is_primary:
            return max(
                _PRIMARY_WAIT_SECONDS,
                self.daemon_count() / _PRIMARY_REQUESTS_PER_SECOND,
            )
        return max(
            _BACKUP_WAIT_SECONDS,
            self.daemon_count() / _BACKUP_REQUESTS_PER_SECOND,
        )

    def is_isolated(self, now_seconds: float) -> bool:
        """Return whether no other daemon has responded recently."""
        max_age_seconds = (
            self.poll_wait_seconds(is_primary=True) + _ISOLATION_MARGIN_SECONDS
        )
        return (
            self.daemon_health.response_age_seconds(now_seconds)
            > max_age_seconds
        )


def quota_hubs(cluster: Cluster) -> tuple[Daemon, ...]:
    """Return the hubs among which quota servers are selected.

    They do not include substitutes for hubs that have lost the store, so that
    quotas change hands rarely.
    """
    hubs, others = _first_of_domains(cluster)
    missing_count = max(0, _MIN_HUB_COUNT - len(hubs))
    return (*hubs, *others[:missing_count])


def _first_of_domains(cluster: Cluster) -> tuple[list[Daemon], list[Daemon]]:
    """Return the first daemons of the failure domains, and the others.

    Both are in the hub order, without daemons that do not respond.
    """
    reachable = [
        daemon
        for daemon in cluster.membership.hub_order()
        if daemon.name not in cluster.daemon_health.unreachable
    ]
    first_daemon_by_domain: dict[str, Daemon] = {}
    for candidate in reachable:
        first_daemon_by_domain.setdefault(candidate.failure_domain, candidate)
    hubs = list(first_daemon_by_domain.values())[:_HUB_COUNT]
    others = [daemon for daemon in reachable if daemon not in hubs]
    return hubs, others

"""Test membership, updates of views, and the resulting routing state."""

import asyncio
import json
import random
import time
import tracemalloc
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest

from dragonflyramp.backends import Fleet
from dragonflyramp.members import (
    DAEMONS_KIND,
    Cluster,
    Daemon,
    HubLinks,
    Membership,
    Registrar,
    SyncServer,
    ViewSynchronizer,
    Watcher,
    is_informed,
)
from dragonflyramp.members._sync_messages import (
    SyncResponse,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from dragonflyramp.members._synchronizers import LinkProgress
from dragonflyramp.members._view_updates import UpdateEncoder
from dragonflyramp.platform import StoreClient, StoreDecoder
from dragonflyramp.results import ResultCode
from dragonflyramp.routing_state import RoutingState
from dragonflyramp.runtime import TaskSet
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.suspects import Suspicion
from dragonflyramp.tools._text_decoders import TextDecoder
from dragonflyramp.views import Change, ChangeBatch, Listing, Position, View
from tests.deployments import make_configuration
from tests.standins.stores import StoreFaults, StoreServer
from tests.standins.waits import eventually

_ENTRIES_KIND = 'servers'
_DOMAINS = ('z0', 'z1', 'z2', 'z3')


def _daemon(name: str, domain: str = 'recife') -> Daemon:
    return Daemon(name=name, address=f'{name}:1', failure_domain=domain)


def _synchronizer(name: str) -> ViewSynchronizer:
    return ViewSynchronizer(
        Cluster(Membership(_daemon(name))),
        {_ENTRIES_KIND: View(_ENTRIES_KIND)},
        lambda kind, names: None,
        SlowReplicaDetector(),
    )


def _synchronize(
    requester: ViewSynchronizer, responder: ViewSynchronizer, now_seconds: float
) -> SyncResponse:
    """Send a request, and apply the response; encode both as on a link."""
    request = decode_request(
        encode_request(requester.build_request(now_seconds=now_seconds))
    )
    responder.cluster.membership.record_contact(request.sender, now_seconds)
    text = encode_response(
        responder.build_response(request, now_seconds), UpdateEncoder()
    )
    response = decode_response(json.loads(text))
    requester.apply_response(response, now_seconds)
    return response


async def test_watcher_lists_again_without_history(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """Mixed pages must not keep a front from listing after lost history.

    The changes after the oldest page are gone, and stale pages stay old.
    """
    store = store_server.store
    for name in ('a', 'b', 'c'):
        store.put(_ENTRIES_KIND, name, {})
    first_revision = store.revision - 2
    store.page_size = 1
    store.faults.stale_revisions = (store.revision, first_revision)
    store.faults.oldest_revision = store.revision
    view = View(_ENTRIES_KIND)
    task = asyncio.create_task(_watcher(store_client, view).run())
    await eventually(lambda: set(view.objects_by_name) == {'a', 'b', 'c'})
    assert view.revision == store.revision
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_view_ignores_older_revisions() -> None:
    """An older listing or change must not undo a newer one."""
    view = View(_ENTRIES_KIND)
    assert view.replace(Listing(5, {'a': {'x': 1}}), 1) == {'a'}
    assert view.replace(Listing(4, {}), 2) == set()
    changes = ChangeBatch(7, (Change('a', None), Change('b', {})))
    assert view.apply(changes, 3) == {'a', 'b'}
    assert view.apply(ChangeBatch(6, (Change('b', None),)), 4) == set()
    assert set(view.objects_by_name) == {'b'}


def test_changes_since_falls_back_to_listing() -> None:
    """A view that is older than the change log must not miss a change."""
    view = View(_ENTRIES_KIND)
    view.replace(Listing(5, {'a': {}}), 1)
    view.apply(ChangeBatch(6, (Change('b', {}),)), 2)
    assert view.changes_since(Position(0, 5)) == ChangeBatch(
        6, (Change('b', {}),)
    )
    assert view.changes_since(Position(0, 4)) == Listing(6, {'a': {}, 'b': {}})
    for revision in range(7, 600):
        view.apply(ChangeBatch(revision, (Change(f'c{revision}', {}),)), 3)
    assert isinstance(view.changes_since(Position(0, 6)), Listing)
    assert isinstance(view.changes_since(Position(0, 598)), ChangeBatch)


def test_log_of_long_names_is_bounded() -> None:
    """Another writer's objects with long names must not fill the memory."""
    view = View(_ENTRIES_KIND)
    view.replace(Listing(5, {}), 1)
    for revision in range(6, 26):
        name = str(revision).zfill(8192)
        view.apply(ChangeBatch(revision, (Change(name, {}),)), 3)
    assert isinstance(view.changes_since(Position(0, 6)), Listing)
    assert isinstance(view.changes_since(Position(0, 24)), ChangeBatch)


def test_log_of_changes_is_bounded_in_bytes() -> None:
    """Large objects that change often must not fill the memory.

    The configuration is one object and may have a megabyte. A log of its
    versions ended the processes of fronts.
    """
    view = View('config')
    view.replace(Listing(1, {}), 1)
    tracemalloc.start()
    for revision in range(2, 302):
        fields = {'routes': [f'{revision}-{index}' for index in range(2000)]}
        view.apply(ChangeBatch(revision, (Change('main', fields),)), 2)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 1_000_000
    assert view.changes_since(Position(0, 2)) == ChangeBatch(
        301, (Change('main', fields),)
    )


def test_relisting_hides_no_change() -> None:
    """A daemon that knows an object of the meantime must learn of its end.

    A new listing shows nothing of an object that came and went since.
    """
    view = View(_ENTRIES_KIND)
    view.replace(Listing(5, {'a': {}}), 1)
    view.apply(ChangeBatch(6, (Change('a', {'x': 1}),)), 2)
    view.replace(Listing(10, {'a': {'x': 1}}), 3)
    assert view.changes_since(Position(0, 8)) == Listing(10, {'a': {'x': 1}})
    assert view.changes_since(Position(0, 6)) == ChangeBatch(10, ())
    view.replace(Listing(14, {'a': {'x': 1}}), 4)
    view.apply(ChangeBatch(15, ()), 5)
    assert isinstance(view.changes_since(Position(0, 8)), Listing)
    assert isinstance(view.changes_since(Position(0, 12)), Listing)
    assert view.changes_since(Position(0, 5)) == ChangeBatch(
        15, (Change('a', {'x': 1}),)
    )


def test_long_gap_counts_as_outage() -> None:
    """A long gap between confirmations must count as an outage of the store.

    Otherwise replicas whose entries expired during it would be removed at once.
    """
    view = View(_ENTRIES_KIND)
    view.replace(Listing(5, {}), 10)
    view.apply(ChangeBatch(5, ()), 14)
    assert view.outage_ended_at_seconds < 0
    view.apply(ChangeBatch(6, ()), 22)
    assert view.outage_ended_at_seconds == pytest.approx(22)


def test_response_carries_missing_changes() -> None:
    """Daemons that the store refuses must get changes from other daemons."""
    responder, requester = _synchronizer('d1'), _synchronizer('d2')
    responder.views[_ENTRIES_KIND].replace(Listing(5, {'a': {}}), 100)
    _synchronize(requester, responder, 101)
    assert requester.views[_ENTRIES_KIND].objects_by_name == {'a': {}}
    assert requester.views[_ENTRIES_KIND].age_seconds(101) == pytest.approx(1)
    responder.views[_ENTRIES_KIND].apply(
        ChangeBatch(6, (Change('b', {}),)), 102
    )
    response = _synchronize(requester, responder, 102)
    assert response.updates[0].changes == ChangeBatch(6, (Change('b', {}),))
    assert requester.views[_ENTRIES_KIND].objects_by_name == {'a': {}, 'b': {}}
    assert not responder.has_changes_for(
        requester.build_request(now_seconds=101)
    )


def test_change_of_another_kind_does_not_end_wait() -> None:
    """A change of another kind must not end the wait of a request.

    It does increment the revision, which the store counts over all kinds.
    """
    responder, requester = _synchronizer('d1'), _synchronizer('d2')
    responder.views[_ENTRIES_KIND].replace(Listing(5, {'a': {}}), 100)
    _synchronize(requester, responder, 100)
    responder.views[_ENTRIES_KIND].apply(ChangeBatch(9, ()), 101)
    assert not responder.has_changes_for(
        requester.build_request(now_seconds=101)
    )
    response = _synchronize(requester, responder, 101)
    assert response.updates[0].changes == ChangeBatch(9, ())
    assert requester.views[_ENTRIES_KIND].revision == 9
    assert requester.views[_ENTRIES_KIND].age_seconds(101) == 0


def test_older_response_is_ignored() -> None:
    """A hub with an older view must not undo newer changes."""
    responder, requester = _synchronizer('d1'), _synchronizer('d2')
    responder.views[_ENTRIES_KIND].replace(Listing(5, {'a': {}}), 100)
    requester.views[_ENTRIES_KIND].replace(Listing(6, {}), 101)
    _synchronize(requester, responder, 102)
    assert requester.views[_ENTRIES_KIND].revision == 6
    assert not requester.views[_ENTRIES_KIND].objects_by_name


def test_response_carries_outage_end() -> None:
    """Daemons that do not call the store must delay removals as others do."""
    responder, requester = _synchronizer('d1'), _synchronizer('d2')
    responder.views[_ENTRIES_KIND].replace(Listing(5, {'a': {}}), 100)
    responder.views[_ENTRIES_KIND].record_outage_end(103)
    _synchronize(requester, responder, 104)
    assert requester.views[
        _ENTRIES_KIND
    ].outage_ended_at_seconds == pytest.approx(103)


def test_slow_replicas_are_shared() -> None:
    """A daemon must learn of a slow replica from the samples of others."""
    hub, reporter, requester = (
        _synchronizer('hub'),
        _synchronizer('reporter'),
        _synchronizer('requester'),
    )
    slow: dict[str, float] = {}
    requester.slow_replica_detector.on_slow = lambda ratios, now_seconds: (
        slow.update(ratios)
    )
    for _ in range(4):
        reporter.slow_replica_detector.record('i-1', 8, 100)
        reporter.slow_replica_detector.record('i-2', 1, 100)
    request = decode_request(
        encode_request(
            reporter.build_request(includes_samples=True, now_seconds=1)
        )
    )
    hub.slow_replica_detector.add_peer_samples(request.samples, 100)
    _synchronize(requester, hub, 100)
    assert slow == {'i-1': pytest.approx(8)}
    assert not reporter.build_request(
        includes_samples=True, now_seconds=1
    ).samples


def test_leaving_replicas_are_shared() -> None:
    """All daemons must stop using a replica that told one that it leaves.

    A daemon that starts later must hear of it too.
    """
    reporter, hub = _synchronizer('reporter'), _synchronizer('hub')
    reporter.replica_notices.record_leaving('i-1', 7, 100)
    request = decode_request(
        encode_request(reporter.build_request(now_seconds=101))
    )
    hub.replica_notices.record_reported(request.leaving, 101)
    for late_seconds in (102, 900):
        requester = _synchronizer('requester')
        _synchronize(requester, hub, late_seconds)
        assert requester.replica_notices.leaving_since(0) == {'i-1': 7}


def test_leaving_replicas_are_sent_once() -> None:
    """Messages must not repeat what both daemons know for minutes."""
    requester, hub = _synchronizer('requester'), _synchronizer('hub')
    hub.replica_notices.record_leaving('i-1', 7, 100)
    request = requester.build_request(
        progress=LinkProgress(last_response_at_seconds=110), now_seconds=110.5
    )
    assert not hub.build_response(request, 111).leaving


def test_messages_of_earlier_version_are_read() -> None:
    """A daemon that reports no leaving replicas must not be cut off.

    Nor may the suspicions that it does not take end each of its waits.
    """
    fields = encode_request(_synchronizer('old').build_request(now_seconds=1))
    for added in (
        'leaving',
        'response_age',
        'suspicions',
        'suspicions_version',
        'known_suspicions_version',
    ):
        fields.pop(added, None)
    request = decode_request(fields)
    assert not request.leaving
    hub = _synchronizer('hub')
    hub.crash_suspects.record_crash('f', Suspicion(crash_rounds=2), 1)
    assert not hub.has_changes_for(request)


def test_earlier_version_gets_listings_of_new_era() -> None:
    """A daemon that knows no eras must neither mix them nor poll without pause.

    Its revision may be one that was given out again.
    """
    hub = _synchronizer('hub')
    view = hub.views[_ENTRIES_KIND]
    view.replace(Listing(9, {'lost': {}}), 1)
    view.replace(Listing(5, {'a': {}}, 1), 2)
    view.apply(ChangeBatch(6, (Change('b', {}),), 1), 3)
    earlier = _synchronizer('earlier')
    for known_revision, listing in (
        (5, Listing(6, {'a': {}, 'b': {}}, 1)),
        (6, None),
        (9, None),
    ):
        fields = encode_request(earlier.build_request(now_seconds=1))
        fields['revisions'][_ENTRIES_KIND] = known_revision
        fields.pop('eras')
        fields.pop('store_era')
        request = decode_request(fields)
        assert hub.has_changes_for(request) == (listing is not None)
        assert hub.build_response(request, 4).updates[0].changes == listing


def test_request_tells_hub_of_restore() -> None:
    """A hub must hear of a restore that another daemon has noticed."""
    sender, hub = _synchronizer('sender'), _synchronizer('hub')
    sender.store_era.observe(7, 1)
    request = decode_request(
        encode_request(sender.build_request(now_seconds=1))
    )
    assert request.store_era == 7
    hub.views[_ENTRIES_KIND].replace(Listing(9, {}, 7), 1)
    sender.apply_response(hub.build_response(request, 1), 1)
    assert sender.views[_ENTRIES_KIND].position == Position(7, 9)
    with pytest.raises(ValueError, match='-1'):
        decode_request({**encode_request(request), 'store_era': -1})


def test_front_without_news_is_uninformed() -> None:
    """A front that hears of nobody must not take its view for the present."""
    synchronizer = _synchronizer('d')
    synchronizer.views[_ENTRIES_KIND].replace(Listing(5, {}), 100)
    assert is_informed(synchronizer, 101)
    health = synchronizer.cluster.daemon_health
    health.record_store_state('d', is_lost=True)
    assert not is_informed(synchronizer, 101)
    health.record_response('hub', 101, is_store_lost=True)
    assert is_informed(synchronizer, 102)
    assert not is_informed(synchronizer, 900)


def test_suspicions_reach_all_daemons() -> None:
    """A request that ends replicas must be known to all daemons at once."""
    reporter, hub = _synchronizer('reporter'), _synchronizer('hub')
    stopped = Suspicion(service='a', request_id='q1', crash_rounds=3)
    reporter.crash_suspects.record_crash('f', stopped, 100)
    request = decode_request(
        encode_request(reporter.build_request(now_seconds=101))
    )
    hub.crash_suspects.apply_report(request.suspicions, 101)
    for late_seconds in (102, 900):
        requester = _synchronizer('requester')
        assert hub.has_changes_for(
            requester.build_request(now_seconds=late_seconds)
        )
        _synchronize(requester, hub, late_seconds)
        assert requester.crash_suspects.table.find('f') == stopped


async def test_change_ends_wait_at_once() -> None:
    """A change must be sent at once, not only when the wait times out."""
    responder, requester = _synchronizer('d1'), _synchronizer('d2')
    request = requester.build_request(wait_seconds=5, now_seconds=1)
    wait_task = asyncio.create_task(responder.wait_for_changes(request))
    await asyncio.sleep(0)
    responder.views[_ENTRIES_KIND].replace(Listing(5, {'a': {}}), 100)
    responder.wake_waiting_requests()
    await asyncio.wait_for(wait_task, 2)
    assert responder.has_changes_for(request)


def _cluster(name: str, domains: dict[str, str]) -> Cluster:
    """Return a daemon's cluster; `domains` has each daemon's failure domain."""
    cluster = Cluster(Membership(_daemon(name, domains[name])))
    cluster.membership.update_registered(
        {
            daemon_name: {'spec': _daemon(daemon_name, domain).as_spec()}
            for daemon_name, domain in domains.items()
        }
    )
    return cluster


def _daemon_domains(daemon_count: int) -> dict[str, str]:
    return {f'd{index}': _DOMAINS[index % 4] for index in range(daemon_count)}


def test_cluster_counts_registered_and_contacted() -> None:
    """A daemon must count if it is registered or in recent contact.

    If a daemon that sends requests did not count, all daemons together would
    exceed the limits that they share.
    """
    cluster = _cluster('d0', _daemon_domains(7))
    assert cluster.daemon_count() == 7
    cluster.membership.record_contact(_daemon('d9'), 100)
    assert cluster.daemon_count() == 8
    cluster.membership.expire_contacts(130)
    assert cluster.daemon_count() == 8
    cluster.membership.expire_contacts(161)
    assert cluster.daemon_count() == 7


@pytest.mark.parametrize('daemon_count', [6, 7, 40, 77])
def test_hubs_span_failure_domains(daemon_count: int) -> None:
    """Loss of one failure domain must not end all watches."""
    domains = _daemon_domains(daemon_count)
    clusters = [_cluster(name, domains) for name in domains]
    hubs = {cluster.own_daemon.name for cluster in clusters if cluster.is_hub()}
    assert len(hubs) == 4
    assert len({domains[name] for name in hubs}) == 4
    assert all(
        {hub.name for hub in cluster.hubs()} == hubs for cluster in clusters
    )


def test_unreachable_hub_is_replaced() -> None:
    """A hub that does not respond must be replaced until it responds again."""
    cluster = _cluster('d0', _daemon_domains(9))
    unreachable = next(
        hub for hub in cluster.hubs() if hub != cluster.own_daemon
    )
    cluster.daemon_health.mark_unreachable(unreachable.name)
    assert unreachable not in cluster.hubs()
    assert len(cluster.hubs()) == 4
    cluster.daemon_health.record_response(
        unreachable.name, 100, is_store_lost=False
    )
    assert unreachable in cluster.hubs()


def test_hubs_without_store_get_substitutes() -> None:
    """When the store refuses all hubs, other daemons must watch it."""
    cluster = _cluster('d0', _daemon_domains(40))
    hubs = cluster.hubs()
    for hub in hubs:
        cluster.daemon_health.record_store_state(hub.name, is_lost=True)
    assert len(cluster.hubs()) == 8
    assert cluster.hubs()[:4] == hubs
    for hub in cluster.hubs():
        cluster.daemon_health.record_store_state(hub.name, is_lost=True)
    assert len(cluster.hubs()) == 8


def test_isolated_daemon_becomes_hub() -> None:
    """A daemon that reaches no other daemon must watch the store itself."""
    domains = _daemon_domains(7)
    for name in domains:
        cluster = _cluster(name, domains)
        cluster.daemon_health.unreachable.update(domains.keys() - {name})
        assert cluster.hubs() == [cluster.own_daemon]


@pytest.mark.parametrize(
    ('daemon_count', 'primary_wait_seconds', 'backup_wait_seconds'),
    [(7, 1, 2), (77, 1, 2), (300, 3, 7.5)],
)
def test_poll_wait_grows_with_cluster_size(
    daemon_count: int, primary_wait_seconds: float, backup_wait_seconds: float
) -> None:
    """Requests must wait longer in large clusters, or they overload the hubs.

    A daemon must not count as isolated during this wait.
    """
    cluster = _cluster('d0', _daemon_domains(daemon_count))
    assert cluster.poll_wait_seconds(is_primary=True) == pytest.approx(
        primary_wait_seconds
    )
    assert cluster.poll_wait_seconds(is_primary=False) == pytest.approx(
        backup_wait_seconds
    )
    cluster.daemon_health.record_response('d1', 100, is_store_lost=False)
    assert not cluster.is_isolated(100 + primary_wait_seconds + 1)
    assert cluster.is_isolated(100 + primary_wait_seconds + 2)


def test_first_ranks_are_spread_evenly() -> None:
    """A daemon must not have the first rank for too many replicas.

    Only the daemons with the first ranks send requests to a cold replica that
    allows fewer requests per second than there are daemons.
    """
    domains = _daemon_domains(20)
    clusters = [_cluster(name, domains) for name in domains]
    keys = [f'i-{index}' for index in range(200)]
    for key in keys:
        ranks = sorted(cluster.rank(key) for cluster in clusters)
        assert ranks == list(range(20))
    first_counts = [
        sum(not cluster.rank(replica_id) for replica_id in keys)
        for cluster in clusters
    ]
    assert max(first_counts) < 25


def _watcher(store_client: StoreClient, view: View) -> Watcher:
    return Watcher(
        store=store_client,
        view=view,
        cluster=Cluster(Membership(_daemon('d1'))),
        on_change=lambda kind, names: None,
        clock=time.monotonic,
        rng=random.Random(1),
    )


@pytest.mark.parametrize(
    'faults',
    [
        StoreFaults(status=503),
        StoreFaults(status=429),
        StoreFaults(is_resetting=True),
        StoreFaults(is_silent=True),
        StoreFaults(oldest_revision=10**6),
    ],
)
async def test_watcher_recovers_from_store_failures(
    store_server: StoreServer, store_client: StoreClient, faults: StoreFaults
) -> None:
    """A view must get changes again after each kind of store failure.

    The store refuses calls, resets connections, does not respond, or loses
    its history.
    """
    view = View(_ENTRIES_KIND)
    store_server.store.put(_ENTRIES_KIND, 'a', {})
    task = asyncio.create_task(_watcher(store_client, view).run())
    await eventually(lambda: 'a' in view.objects_by_name)
    store_server.store.faults = faults
    store_server.store.wake_watches()
    store_server.store.put(_ENTRIES_KIND, 'b', {})
    store_server.store.remove(_ENTRIES_KIND, 'a')
    await asyncio.sleep(0)
    if not faults.oldest_revision:
        store_server.store.faults = StoreFaults()
    await eventually(lambda: set(view.objects_by_name) == {'b'})
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@attrs.define(eq=False)
class _RunningCluster:
    """Run daemons that register, watch and update each other on loopback."""

    store: StoreClient
    synchronizers: dict[str, ViewSynchronizer] = attrs.field(factory=dict)
    sync_servers: dict[str, SyncServer] = attrs.field(factory=dict)
    tasks: TaskSet = attrs.field(factory=TaskSet)

    async def start(self, name: str, domain: str) -> None:
        """Start a daemon that registers and watches as a front does."""
        views = {kind: View(kind) for kind in (_ENTRIES_KIND, DAEMONS_KIND)}
        synchronizer = ViewSynchronizer(
            Cluster(Membership(_daemon(name, domain))),
            views,
            lambda kind, names: self._handle_change(name, kind),
            SlowReplicaDetector(),
        )
        sync_server = SyncServer(synchronizer, time.monotonic)
        port = await sync_server.start('127.0.0.1:0')
        own_daemon = Daemon(name, f'127.0.0.1:{port}', domain)
        synchronizer.cluster.membership.own_daemon = own_daemon
        self.synchronizers[name] = synchronizer
        self.sync_servers[name] = sync_server
        hub_links = HubLinks(synchronizer, (), time.monotonic)
        self._hub_links[name] = hub_links
        registrar = Registrar(
            store=self.store,
            cluster=synchronizer.cluster,
            view=views[DAEMONS_KIND],
            clock=time.monotonic,
            rng=random.Random(1),
        )
        self.tasks.start(registrar.run(), 'registrar')
        self.tasks.start(hub_links.run(), 'hub_links')
        for view in views.values():
            watcher = attrs.evolve(
                _watcher(self.store, view),
                cluster=synchronizer.cluster,
                on_change=synchronizer.on_change,
            )
            self.tasks.start(watcher.run(), 'watcher')

    async def stop(self) -> None:
        """Stop all daemons."""
        await self.tasks.cancel()
        for sync_server in self.sync_servers.values():
            await sync_server.stop()

    _hub_links: dict[str, HubLinks] = attrs.field(factory=dict)

    def _handle_change(self, name: str, kind: str) -> None:
        synchronizer = self.synchronizers[name]
        if kind == DAEMONS_KIND:
            synchronizer.cluster.membership.update_registered(
                synchronizer.views[kind].objects_by_name
            )
        self._hub_links[name].notify_change()


@pytest.fixture
async def running_cluster(
    store_client: StoreClient,
) -> AsyncIterator[_RunningCluster]:
    """Start six daemons in three failure domains; three are not hubs."""
    started_cluster = _RunningCluster(store_client)
    for index in range(6):
        await started_cluster.start(f'd{index}', _DOMAINS[index % 3])
    yield started_cluster
    await started_cluster.stop()


def _all_views_have(running_cluster: _RunningCluster, name: str) -> bool:
    return all(
        name in synchronizer.views[_ENTRIES_KIND].objects_by_name
        for synchronizer in running_cluster.synchronizers.values()
    )


async def test_daemons_discover_peers_and_share_changes(
    store_server: StoreServer, running_cluster: _RunningCluster
) -> None:
    """Daemons must find each other in the store and send changes by gRPC."""
    await eventually(
        lambda: all(
            synchronizer.cluster.daemon_count() == 6
            for synchronizer in running_cluster.synchronizers.values()
        )
    )
    store_server.store.put(_ENTRIES_KIND, 'a', {})
    await eventually(lambda: _all_views_have(running_cluster, 'a'))


async def test_stopped_hubs_do_not_block_changes(
    store_server: StoreServer, running_cluster: _RunningCluster
) -> None:
    """Changes must arrive even if all hubs but one have stopped."""
    await eventually(
        lambda: all(
            synchronizer.cluster.daemon_count() == 6
            for synchronizer in running_cluster.synchronizers.values()
        )
    )
    hubs = running_cluster.synchronizers['d0'].cluster.hubs()
    for hub in hubs[1:]:
        await running_cluster.sync_servers.pop(hub.name).stop()
        running_cluster.synchronizers.pop(hub.name)
    store_server.store.put(_ENTRIES_KIND, 'b', {})
    await eventually(lambda: _all_views_have(running_cluster, 'b'))


def _is_registered(store_server: StoreServer, name: str) -> bool:
    return name in store_server.store.objects_by_kind.get(DAEMONS_KIND, {})


async def test_removed_entry_is_registered_again(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A running daemon must register again if its entry has been removed.

    Another daemon removes the entry if it wrongly considers this one lost.
    """
    view = View(DAEMONS_KIND)
    registrar = Registrar(
        store=store_client,
        cluster=Cluster(Membership(_daemon('d1'))),
        view=view,
        clock=lambda: 1,
        rng=random.Random(1),
    )
    await registrar.reconcile()
    assert _is_registered(store_server, 'd1')
    store_server.store.remove(DAEMONS_KIND, 'd1')
    await registrar.reconcile()
    assert _is_registered(store_server, 'd1')


async def test_entries_of_lost_daemons_are_removed(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """Daemons that no longer run must not keep a share of the limits."""
    domains = _daemon_domains(7)
    for name in domains:
        store_server.store.put(DAEMONS_KIND, name, {})
    first_hub_name = _cluster('d0', domains).hubs()[0].name
    cluster = _cluster(first_hub_name, domains)
    view = View(DAEMONS_KIND)
    view.replace(Listing(5, dict.fromkeys(domains, {})), 0)
    lost_name = next(iter(domains.keys() - {first_hub_name}))
    for contacted_name in domains.keys() - {lost_name}:
        cluster.membership.record_contact(
            _daemon(contacted_name, domains[contacted_name]), 100
        )
    registrar = Registrar(
        store=store_client,
        cluster=cluster,
        view=view,
        clock=lambda: 100,
        rng=random.Random(1),
        min_removal_uptime_seconds=0,
    )
    await registrar.reconcile()
    assert not _is_registered(store_server, lost_name)
    assert _is_registered(store_server, first_hub_name)


def _routing_state(now_seconds: float = 1) -> RoutingState:
    decoder = StoreDecoder()
    return RoutingState(
        views={kind: View(kind) for kind in decoder.kinds},
        decoder=decoder,
        fleet=Fleet(
            create_connection=lambda address, hooks: pytest.fail(
                'opened a connection'
            ),
            tasks=TaskSet(),
        ),
        clock=lambda: now_seconds,
    )


def _entries(count: int) -> dict[str, dict[str, object]]:
    spec = {
        'service': 'a',
        'address': '127.0.0.1:1',
        'zone': 'recife',
        'state': 'ready',
    }
    return {
        f'i-{index}': {'meta': {'name': f'i-{index}'}, 'spec': spec}
        for index in range(count)
    }


@pytest.mark.parametrize(('removed_count', 'remaining_count'), [(1, 7), (5, 8)])
def test_mass_removal_is_delayed(
    removed_count: int, remaining_count: int
) -> None:
    """An undetected outage must not remove many running replicas at once.

    A daemon does not detect an outage of the store during which it makes no
    call. Many entries expire during such an outage, although their replicas
    run and register again after it.
    """
    routing_state = _routing_state()
    view = routing_state.views['servers']
    routing_state.apply_changes(
        'servers', view.replace(Listing(5, _entries(8)), 1)
    )
    removals = tuple(
        Change(f'i-{index}', None) for index in range(removed_count)
    )
    routing_state.apply_changes(
        'servers', view.apply(ChangeBatch(6, removals), 1)
    )
    assert len(routing_state.fleet.usable_replicas('a', 9)) == remaining_count
    routing_state.remove_due_replicas(4)
    assert len(routing_state.fleet.usable_replicas('a', 9)) == 8 - removed_count


def test_returning_entry_keeps_its_replica() -> None:
    """A replica that is registered again in time must not be removed."""
    routing_state = _routing_state()
    view = routing_state.views['servers']
    entries = _entries(4)
    routing_state.apply_changes('servers', view.replace(Listing(5, entries), 1))
    routing_state.apply_changes('servers', view.replace(Listing(6, {}), 1))
    routing_state.apply_changes('servers', view.replace(Listing(7, entries), 1))
    routing_state.remove_due_replicas(9)
    assert len(routing_state.fleet.usable_replicas('a', 9)) == 4


def test_routing_state_is_complete_with_all_kinds() -> None:
    """A front must not be ready before it has read all kinds."""
    routing_state = _routing_state()
    decoder, views = routing_state.decoder, routing_state.views
    stored = {'meta': {'name': 'main'}, 'spec': make_configuration(1)}
    views[decoder.config_kind].replace(Listing(5, {'main': stored}), 1)
    routing_state.apply_changes(decoder.config_kind, {'main'})
    assert routing_state.table is not None
    assert not routing_state.has_synced
    for kind in decoder.kinds:
        views[kind].replace(Listing(5, {}), 1)
    assert routing_state.has_synced


def test_unreadable_holds_stay_in_force() -> None:
    """Holds that cannot be read must not be lifted."""
    routing_state = _routing_state()
    kind = routing_state.decoder.holds_kind
    routing_state.views[kind].replace(Listing(5, {'recife': {}}), 1)
    routing_state.apply_changes(kind, {'recife'})
    assert routing_state.fleet.held_domains == {'recife'}
    routing_state.decoder = _UnreadableHoldsDecoder()
    routing_state.views[kind].replace(Listing(6, {}), 1)
    routing_state.apply_changes(kind, {'recife'})
    assert routing_state.fleet.held_domains == {'recife'}
    assert not routing_state.are_holds_readable


def test_damaged_text_gives_no_holds() -> None:
    """A damaged text must not be read as one without holds."""
    decoder = TextDecoder()
    assert decoder.decode_held_domains({}) == frozenset()
    assert decoder.decode_held_domains({'root': {'spec': None}}) is None


@attrs.frozen
class _UnreadableHoldsDecoder(StoreDecoder):
    def decode_held_domains(  # type: ignore[override]
        self, objects_by_name: object
    ) -> None:
        """Return None, as for a damaged text."""


def test_outage_end_does_not_move_back() -> None:
    """A late confirmation must not shorten the delay of removals."""
    view = View(_ENTRIES_KIND)
    view.replace(Listing(5, {}), 10)
    view.record_outage_end(40)
    view.apply(ChangeBatch(6, ()), 30)
    assert view.outage_ended_at_seconds == pytest.approx(40)


def test_reports_of_former_hubs_are_dropped() -> None:
    """Reports must not pile up while the hubs change."""
    detector = SlowReplicaDetector()
    for number in range(9):
        detector.apply_report(f'hub-{number}', {}, number * 100)
    assert list(detector._hub_reports) == ['hub-8']


async def test_entry_without_meta_is_no_registration(
    store_client: StoreClient, store_server: StoreServer
) -> None:
    """An odd entry under the name of a daemon must not end it."""
    store_server.store.objects_by_kind[DAEMONS_KIND] = {
        'd1': {'meta': 'odd', 'spec': {}}
    }
    registrar = Registrar(
        store=store_client,
        cluster=Cluster(Membership(_daemon('d1'))),
        view=View(DAEMONS_KIND),
        clock=lambda: 100,
        rng=random.Random(1),
    )
    assert await registrar._try_register() is ResultCode.bad_reply


def test_changes_are_encoded_once_for_all_daemons() -> None:
    """A hub must not encode the same objects again for each of 60 daemons.

    Those of a configuration took 1.1 ms of processor time each.
    """
    hub = _synchronizer('hub')
    encoder = UpdateEncoder()
    requests = [
        _synchronizer(f'd{index}').build_request(now_seconds=1)
        for index in range(60)
    ]
    reads: list[str] = []
    entry = _CountedFields(reads)
    hub.views[_ENTRIES_KIND].replace(Listing(5, {'i-1': entry}), 0)
    texts = {
        encode_response(hub.build_response(request, 1), encoder)
        for request in requests
    }
    assert len(texts) == 1
    assert len(reads) == 1
    changed = Change('i-1', {'service': 'b'})
    hub.views[_ENTRIES_KIND].apply(ChangeBatch(5, (changed,)), 1)
    text = encode_response(hub.build_response(requests[0], 1), encoder)
    assert json.loads(text)['told'][0]['all'] == {'i-1': {'service': 'b'}}


class _CountedFields(dict[str, Any]):
    """Object that counts how often it is encoded."""

    def __init__(self, reads: list[str]) -> None:
        """Add to a list for each time."""
        super().__init__(service='a')
        self._reads = reads

    def items(self) -> Any:  # noqa: WPS110 - a method of dict
        """Count, and return the members."""
        self._reads.append('items')
        return super().items()

"""Test the quotas of tenants: decisions under load, messages, processes."""

import asyncio
import collections
import json
import math
import random

import attrs
import pytest

from dragonflyramp.callers._quota_checks import QuotaCheck
from dragonflyramp.members import Daemon
from dragonflyramp.members._quota_messages import (
    decode_grant_reply,
    decode_grant_request,
    encode_grant_reply,
    encode_grant_request,
)
from dragonflyramp.members._sync_messages import (
    SyncRequest,
    SyncResponse,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from dragonflyramp.members._view_updates import UpdateEncoder
from dragonflyramp.quotas import (
    GrantReply,
    GrantRequest,
    LeaseOffer,
    LeaseStamp,
    LeaseTable,
    QuotaAsk,
    QuotaGrant,
    QuotaLimit,
    QuotaPolicy,
    Settlement,
)
from dragonflyramp.quotas._accounts import RememberedRefusal
from dragonflyramp.quotas._buckets import QuotaBucket
from dragonflyramp.quotas._limits import AWAY_SECONDS
from dragonflyramp.tenants import Tenant
from dragonflyramp.views import Fields
from tests.quota_models import BOUNDS, Cluster, greatest_window, run_virtually

_FRONT_COUNT = 60
_TENANT_COUNT = 72
_LARGEST_RATE = 21
_TOTAL_RATE = 120
#: Limits are about this many times the usual rate.
_HEADROOM = 1.6
_WARM_UP_SECONDS = 30.0


def _usual_rates() -> list[float]:
    """Return uneven rates: the largest 21 a second, most of them below 1."""
    exponent = 1.0
    rates: list[float] = []
    while not rates or sum(rates) > _TOTAL_RATE:
        exponent += 0.01
        rates = [
            _LARGEST_RATE / (index + 1) ** exponent
            for index in range(_TENANT_COUNT)
        ]
    return rates


@attrs.define(eq=False)
class _Load:
    """Callers of all tenants, each with connections to a few fronts."""

    rng: random.Random
    cluster: Cluster
    sent: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)
    waits_seconds: list[float] = attrs.field(factory=list)

    async def send_tenant(
        self, tenant: Tenant, rate_per_second: float, seconds: float
    ) -> None:
        """Send requests at random times over some connections."""
        fronts = self.rng.choices(
            self.cluster.quotas, k=2 + int(4 * rate_per_second)
        )
        loop = asyncio.get_running_loop()
        ends_at_seconds = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < ends_at_seconds:
                await asyncio.sleep(self.rng.expovariate(rate_per_second))
                group.create_task(self._send(self.rng.choice(fronts), tenant))

    async def _send(self, front: QuotaPolicy, tenant: Tenant) -> None:
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        delay_seconds = await front.try_acquire(tenant, started_at_seconds)
        self.waits_seconds.append(loop.time() - started_at_seconds)
        if delay_seconds is None:
            self.sent[tenant.name].append(loop.time())
        else:
            self.refused[tenant.name] += 1


def _tenants(burst: float = 0) -> dict[str, Tenant]:
    return {
        f'tenant-{index}': Tenant(
            name=f'tenant-{index}',
            rate_per_second=rate * _HEADROOM,
            burst=burst,
        )
        for index, rate in enumerate(_usual_rates())
    }


async def _run_load(
    seed: int,
    factors: dict[str, float],
    seconds: float,
    latency_seconds: tuple[float, float] = (0.001, 0.003),
) -> _Load:
    tenants = _tenants()
    rng = random.Random(seed)
    limits = {
        tenant.name: QuotaLimit(tenant.rate_per_second, tenant.burst)
        for tenant in tenants.values()
    }
    load = _Load(rng, Cluster(_FRONT_COUNT, limits, rng))
    async with asyncio.TaskGroup() as group:
        tasks = load.cluster.start(group)
        await asyncio.sleep(_WARM_UP_SECONDS)
        load.cluster.message_count = 0
        load.cluster.latency_seconds = latency_seconds
        await asyncio.gather(
            *(
                load.send_tenant(
                    tenant,
                    tenant.rate_per_second
                    / _HEADROOM
                    * factors.get(tenant.name, 1),
                    seconds,
                )
                for tenant in tenants.values()
            )
        )
        for task in tasks:
            task.cancel()
    return load


def _check_bound(load: _Load) -> None:
    for name, tenant in _tenants().items():
        window_units = tenant.rate_per_second * BOUNDS.window_seconds
        limit = (window_units + tenant.burst) * (
            1 + BOUNDS.overshoot
        ) + BOUNDS.slack
        assert greatest_window(load.sent[name], BOUNDS.window_seconds) <= limit


@pytest.mark.parametrize('seed', range(2))
def test_tenants_below_their_limit_are_served(seed: int) -> None:
    """A refusal below the limit must be rare, whatever fronts callers use.

    Static shares of 1/60 would refuse most requests of small tenants.
    """
    load = run_virtually(_run_load(seed, {}, 60))
    sent_count = sum(map(len, load.sent.values()))
    assert sent_count > 6000
    assert sum(load.refused.values()) <= sent_count / 1000
    assert load.cluster.message_count / 60 <= 1.5 * _TOTAL_RATE
    _check_bound(load)


def test_tenant_far_above_its_limit() -> None:
    """A tenant at seven times its rate must not cost a message a refusal.

    It must get its own limit, and the others must not notice.
    """
    name = 'tenant-0'
    load = run_virtually(_run_load(7, {name: 7}, 20))
    refused_count = load.refused[name]
    limit_per_second = _tenants()[name].rate_per_second
    assert refused_count > 1500
    assert len(load.sent[name]) >= 0.9 * limit_per_second * 20
    others = sum(load.refused.values()) - refused_count
    assert others <= 2
    assert load.cluster.message_count / 20 <= 1.5 * _TOTAL_RATE + 3 * (
        limit_per_second
    )
    _check_bound(load)


def test_tenant_above_its_limit_with_slow_servers() -> None:
    """A tenant that asks for too much must get its limit, and others theirs.

    The servers need up to 120 ms for an answer, as while a configuration comes
    into force.
    """
    name = 'tenant-0'
    load = run_virtually(
        _run_load(7, {name: 6.3}, 8, latency_seconds=(0.02, 0.06))
    )
    limit_per_second = _tenants()[name].rate_per_second
    assert len(load.sent[name]) >= 0.9 * limit_per_second * 8
    others = sum(load.refused.values()) - load.refused[name]
    assert others <= 10
    _check_bound(load)


@pytest.mark.parametrize(
    ('remaining_seconds', 'is_served'), [(0.4, False), (0.8, True)]
)
def test_request_waits_for_slow_server(
    remaining_seconds: float, is_served: bool
) -> None:
    """A request with time left must not be refused for a slow answer.

    All were refused after 0.15 s, also those that had 2.5 s. One with little
    time is refused while there is some left.
    """
    waited_seconds, delay_seconds = run_virtually(
        _acquire_slowly(remaining_seconds)
    )
    assert waited_seconds <= 0.4 * remaining_seconds
    assert (delay_seconds is None) is is_served


async def _acquire_slowly(
    remaining_seconds: float,
) -> tuple[float, float | None]:
    """Return how long a request waits for a server, and the decision."""
    tenant = _tenants()['tenant-0']
    limits = {
        tenant.name: QuotaLimit(tenant.rate_per_second, tenant.burst),
    }
    cluster = Cluster(_FRONT_COUNT, limits, random.Random(1))
    clock = asyncio.get_running_loop().time
    async with asyncio.TaskGroup() as group:
        tasks = cluster.start(group)
        await asyncio.sleep(_WARM_UP_SECONDS)
        cluster.latency_seconds = (0.09, 0.1)
        started_at_seconds = clock()
        check = QuotaCheck(
            cluster.quotas[0],
            tenant,
            started_at_seconds + remaining_seconds,
            clock,
        )
        delay_seconds = await check.acquire(started_at_seconds)
        waited_seconds = clock() - started_at_seconds
        for task in tasks:
            task.cancel()
    return waited_seconds, delay_seconds


def test_leases_add_up_to_the_whole_at_most() -> None:
    """Fronts that count too few daemons must not raise the rate at one hub."""
    table = LeaseTable(own_name='hub', process_id='hub/1', started_at_seconds=0)
    for index in range(3):
        table.accept(_offer(f'front-{index}/1', 0.5, sent_at_seconds=10), 10)
    assert table.share_of('tenant', 11) == 1
    assert table.share_seconds('tenant', 10, 12) == pytest.approx(2)


def test_earlier_offer_replaces_no_later_one() -> None:
    """A late offer must not restore the share of a smaller cluster."""
    table = LeaseTable(own_name='hub', process_id='hub/1', started_at_seconds=0)
    table.accept(_offer('front/1', 0.25, sent_at_seconds=10, sequence=2), 10)
    table.accept(_offer('front/1', 0.5, sent_at_seconds=10, sequence=1), 10.1)
    assert table.share_of('tenant', 11) == pytest.approx(0.25)


def test_offer_to_a_former_process_is_ignored() -> None:
    """A late offer must not lease a share after a restart of the machine.

    The clock of the hub began again, and the share may be leased elsewhere.
    """
    table = LeaseTable(own_name='hub', process_id='hub/2', started_at_seconds=0)
    table.accept(_offer('front/1', 0.5, sent_at_seconds=10), 10)
    assert not table.total_share(11)


def test_small_group_stops_without_confirmation() -> None:
    """A group that is cut off must stop, as the others may have removed it."""
    table = LeaseTable(own_name='hub', process_id='hub/1', started_at_seconds=0)
    table.accept(_offer('front-0/1', 0.4, sent_at_seconds=10), 10)
    assert table.share_of('tenant', 11) == pytest.approx(0.4)
    table.is_confirmed = False
    assert table.share_of('tenant', 11) == 0
    table.accept(_offer('front-1/1', 0.4, sent_at_seconds=11), 11)
    assert table.share_of('tenant', 11) == pytest.approx(0.8)


def test_settlement_counts_once() -> None:
    """A repeated settlement must not add units."""
    bucket = QuotaBucket(QuotaLimit(1, 0))
    bucket.refill(20, 20, 0)
    assert bucket.hold(7, 8, 1) == 8
    for _ in range(2):
        bucket.settle(7, 5)
    assert bucket.level == 17
    assert bucket.held_units == 0


def test_refused_callers_are_told_different_times() -> None:
    """Callers who come back together would be refused again."""
    refusal = RememberedRefusal()
    refusal.record(0.5, 10)
    delays = [refusal.pop_delay_seconds(10.1) for _ in range(3)]
    assert delays == pytest.approx([0.4, 0.9, 1.4])
    assert refusal.pop_delay_seconds(10.5) is None


def test_refusal_without_shares_tells_their_time() -> None:
    """After the loss of all fronts, callers must not come back in vain.

    They were told 0.5 s, and refused again for four seconds.
    """
    delays = run_virtually(_refused_delays())
    assert delays == sorted(delays, reverse=True)
    assert delays[0] == pytest.approx(AWAY_SECONDS, abs=0.3)
    assert delays[-1] < AWAY_SECONDS / 2


async def _refused_delays() -> list[float]:
    """Start all fronts, and ask one a few times until its share is free."""
    tenants = _tenants()
    limits = {
        tenant.name: QuotaLimit(tenant.rate_per_second, tenant.burst)
        for tenant in tenants.values()
    }
    cluster = Cluster(_FRONT_COUNT, limits, random.Random(1))
    delays = []
    async with asyncio.TaskGroup() as group:
        tasks = cluster.start(group)
        for _ in range(4):
            delay_seconds = await cluster.quotas[0].try_acquire(
                tenants['tenant-0'], 0
            )
            assert delay_seconds is not None
            delays.append(delay_seconds)
            await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
    return delays


async def test_request_that_waited_is_checked_again() -> None:
    """A request after a pause must not be sent with an old unit.

    It would count in another window than the one of its unit.
    """
    policy = _CountingPolicy()
    now_seconds = 100.0
    tenant = Tenant(name='tenant', rate_per_second=1)
    check = QuotaCheck(policy, tenant, clock=lambda: now_seconds)
    await check.acquire(0)
    now_seconds += 0.2
    await check.acquire(0)
    assert policy.count == 1
    now_seconds += 0.2
    await check.acquire(0)
    assert policy.count == 2


def test_messages_of_earlier_and_later_versions() -> None:
    """Fronts of two versions must understand each other during an update."""
    sender = Daemon('front', '10.0.0.1:1', 'recife')
    offer = _offer('front/1', 0.5, sent_at_seconds=10)
    request = SyncRequest(sender=sender, revisions={}, quota_offer=offer)
    encoded = json.loads(json.dumps(encode_request(request)))
    assert decode_request(encoded).quota_offer == offer
    encoded.pop('quota_offer')
    assert decode_request(encoded).quota_offer is None
    stamp = LeaseStamp('hub/1', 12.5)
    response = SyncResponse(
        sender=sender,
        is_store_lost=False,
        report={},
        updates=(),
        quota_stamp=stamp,
    )
    encoded = json.loads(encode_response(response, UpdateEncoder()))
    assert decode_response(encoded).quota_stamp == stamp
    encoded.pop('quota_stamp')
    assert decode_response(encoded).quota_stamp is None


def test_grant_messages_keep_their_content() -> None:
    """A field that is lost on the way would lose units or exceed the bound."""
    request = GrantRequest(
        offer=_offer('front/1', 0.5, sent_at_seconds=10),
        asks=(
            QuotaAsk(
                tenant_name='a', limit=QuotaLimit(1.5, 2), wanted=3, ahead=1
            ),
        ),
        settlements=(Settlement(tenant_name='b', grant_id=2**48, unused=4),),
    )
    encoded = json.loads(json.dumps(encode_grant_request(request)))
    assert decode_grant_request(encoded) == request
    reply = GrantReply(
        stamp=LeaseStamp('hub/1', 12.5),
        grants=(
            QuotaGrant(tenant_name='a', units=2, ahead=1, grant_id=5),
            QuotaGrant(tenant_name='b', retry_after_seconds=0.25),
        ),
    )
    encoded = json.loads(json.dumps(encode_grant_reply(reply)))
    assert decode_grant_reply(encoded) == reply


@pytest.mark.parametrize(
    'changes',
    [
        {'asks': 'text'},
        {'asks': [['a', [1, 1], -1, 0]]},
        {'asks': [['a', [float('nan'), 1], 1, 0]]},
        {'settlements': [['', 1, 1]]},
        {'offer': ['front/1', 1, 0.5, [['hub']], None]},
    ],
)
def test_malformed_grant_requests_are_rejected(changes: Fields) -> None:
    """A malformed message must not end a hub, or create units."""
    fields: Fields = {'offer': None, 'asks': [], 'settlements': []}
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        decode_grant_request({**fields, **changes})


@attrs.define(eq=False)
class _CountingPolicy(QuotaPolicy):
    count: int = 0

    async def try_acquire(
        self,
        tenant: Tenant,
        now_seconds: float,
        max_wait_seconds: float = math.inf,
    ) -> None:
        """Let all requests run, and count them."""
        self.count += 1

    async def run(self) -> None:
        """Return at once: there is nothing to do."""


def _offer(
    process_id: str, share: float, *, sent_at_seconds: float, sequence: int = 1
) -> LeaseOffer:
    return LeaseOffer(
        process_id=process_id,
        sequence=sequence,
        share=share,
        hub_lists=(('hub',),),
        stamp=LeaseStamp('hub/1', sent_at_seconds),
    )

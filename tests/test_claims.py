"""Test that a submit runs at most once whatever the platform does."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Result

from dragonflyramp.callers import (
    ClaimSettings,
    Front,
    FrontParts,
    FrontSettings,
    Refusal,
    SubmitAnswer,
    SubmitRequest,
)
from dragonflyramp.callers._claim_records import claim_key
from dragonflyramp.messages import Submit, SubmitOutcome
from dragonflyramp.results import ResultCode, RunState
from tests.standins.front_fakes import FakeRelays, desk_source, report, snapshot
from tests.standins.object_stores import Fault, FaultyStore, MemoryStore
from tests.standins.virtual_time import clock, run_virtual

Submitted = Result[SubmitAnswer, Refusal]


@attrs.frozen(kw_only=True)
class Send:
    """Script what becomes of one submit at the relay."""

    code: ResultCode = ResultCode.ok
    #: When the backend server runs it; None is never.
    run_ms: float | None = 0
    reply_ms: float = 1


@attrs.define
class World:
    """Share one platform and one backend server between fronts."""

    store: MemoryStore = attrs.field(factory=MemoryStore)
    sends: Iterator[Send] = attrs.field(
        factory=lambda: itertools.repeat(Send())
    )
    unix_offset: float = 0
    sent: list[str] = attrs.field(factory=list)
    ran: list[str] = attrs.field(factory=list)
    refused: set[str] = attrs.field(factory=set)

    async def on_submit(self, submit: Submit) -> SubmitOutcome:
        """Run a submit as scripted; sent and ran hold request ids."""
        assert submit.request_id not in self.refused
        self.sent.append(submit.request_id)
        send = next(self.sends)
        if send.run_ms is not None:
            asyncio.get_running_loop().call_later(
                send.run_ms / 1000, self.ran.append, submit.request_id
            )
        await asyncio.sleep(send.reply_ms / 1000)
        body = b'{"run": "%s"}' % submit.request_id.encode()
        return SubmitOutcome(
            submit_id=submit.submit_id, code=send.code, body=body
        )


@attrs.define
class Node:
    """Hold one front whose process pauses and whose platform fails."""

    world: World
    seed: int = 1
    claims: ClaimSettings = ClaimSettings(settle_seconds=600)
    faults: Iterator[Fault] = attrs.field(factory=lambda: iter(()))
    lag_seconds: float = 0
    relays: tuple[str, ...] = ('r1',)
    front: Front = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the front."""
        links = FakeRelays(
            tuple(report(one, ('s0',), snapshot('A')) for one in self.relays)
        )
        links.on_submit = self.world.on_submit
        self.front = Front(
            FrontParts(
                links=links,
                source=desk_source(1),
                store=FaultyStore(self.world.store, self.next_fault),
                rng=random.Random(self.seed),
                settings=FrontSettings(notice_seconds=0, claims=self.claims),
                clock=lambda: clock() + self.lag_seconds,
                unix_clock=lambda: clock() + self.world.unix_offset,
            )
        )

    def next_fault(self) -> Fault:
        """Take the next fault; a pause is seen only by this front's clock."""
        fault = next(self.faults, Fault(delay_ms=1))
        self.lag_seconds += fault.pause_ms / 1000
        return fault

    async def submit(
        self, request_id: str, key: str = 'k', body: bytes = b'{}'
    ) -> Submitted:
        """Submit with a deadline of 200 ms."""
        found = await self.front.submit(
            SubmitRequest(
                request_id=request_id,
                service='s0',
                body=body,
                deadline_ms=200,
                received_seconds=clock() + self.lag_seconds,
                idempotency_key=key,
            )
        )
        if not is_successful(found):
            run = found.failure().run
            if run is RunState.not_run:
                self.world.refused.add(request_id)
        return found


def outcome(found: Submitted) -> ResultCode:
    """Return the code of an answer or a refusal."""
    if is_successful(found):
        return found.unwrap().code
    return found.failure().code


async def play(
    nodes: list[Node], requests: list[tuple[int, float]]
) -> list[Submitted]:
    """Submit one key through several fronts, then once more when all ended."""
    tasks = []
    for number, (chosen, gap_ms) in enumerate(requests):
        await asyncio.sleep(gap_ms / 1000)
        front = nodes[chosen % len(nodes)]
        tasks.append(asyncio.create_task(front.submit(f'q{number}')))
    found = list(await asyncio.gather(*tasks))
    await asyncio.gather(*(node.front.drain(clock()) for node in nodes))
    await asyncio.sleep(60)
    world = nodes[0].world
    world.sends = itertools.repeat(Send())
    return [*found, await Node(world, 9).submit('last')]


FAULTS = st.builds(
    Fault,
    delay_ms=st.sampled_from([0, 1, 1, 30, 400, 3000]),
    is_reply_lost=st.booleans(),
    effect_ms=st.sampled_from([0, 0, 5, 300, 4000, None]),
    pause_ms=st.sampled_from([0, 0, 0, 150, 5000]),
)
SENDS = st.sampled_from(
    [
        Send(),
        Send(reply_ms=400),
        Send(run_ms=5000, reply_ms=9000),
        Send(code=ResultCode.shed, run_ms=None),
        Send(code=ResultCode.connection_reset),
        Send(code=ResultCode.outcome_unknown, run_ms=None, reply_ms=50),
    ]
)
REQUESTS = st.tuples(
    st.integers(0, 2), st.sampled_from([0, 0, 1, 3, 60, 250, 9000])
)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    faults=st.lists(st.lists(FAULTS, max_size=8), min_size=2, max_size=3),
    sends=st.lists(SENDS, max_size=4),
    requests=st.lists(REQUESTS, min_size=1, max_size=4),
)
def test_any_interleaving_runs_at_most_once(
    faults: list[list[Fault]],
    sends: list[Send],
    requests: list[tuple[int, float]],
) -> None:
    """Guard against two runs, a run after "not run", and a lost key."""
    world = World(sends=itertools.chain(sends, itertools.repeat(Send())))
    nodes = [
        Node(world, seed, faults=iter(script))
        for seed, script in enumerate(faults)
    ]
    found = run_virtual(play(nodes, requests))
    check(world, found)


def check(world: World, found: list[Submitted]) -> None:
    """Check what every play has to keep."""
    assert len(world.ran) <= 1
    assert not world.refused & set(world.ran)
    if set(world.sent) - world.refused <= {'last'}:
        # Nothing was sent, or only what the backend server did not run.
        assert outcome(found[-1]) is ResultCode.ok
    for one in found:
        if is_successful(one):
            assert one.unwrap().body == b'{"run": "%s"}' % (
                world.ran[0].encode()
            )


@attrs.define
class LastWriteWins(MemoryStore):
    """Break the promise that a write is conditional."""

    def apply(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write whatever version stands."""
        found = self.stored.get(name)
        return super().apply(name, body, found.version if found else 0)


def test_check_finds_two_runs() -> None:
    """A check that passes without the safeguard would guard nothing."""
    world = World(LastWriteWins())
    found = run_virtual(play([Node(world), Node(world, 2)], [(0, 0), (1, 0)]))
    with pytest.raises(AssertionError):
        check(world, found)


async def again(node: Node) -> list[ResultCode]:
    """Submit, repeat, and use the key for another body."""
    return [
        outcome(await node.submit('a')),
        outcome(await node.submit('b')),
        outcome(await node.submit('c', body=b'[]')),
        outcome(await node.submit('d', key='other')),
    ]


async def failing(node: Node) -> list[ResultCode]:
    """Repeat after a send that ended in an unexpected error."""
    node.world.sends = iter(())
    return await again(node)


async def twice_at_once(node: Node) -> list[ResultCode]:
    """Submit the same key twice at the same time."""
    found = await asyncio.gather(node.submit('a'), node.submit('b'))
    return [outcome(one) for one in found]


async def past_retention(node: Node) -> list[ResultCode]:
    """Repeat before and after the retention of 24 hours."""
    codes = [outcome(await node.submit('a'))]
    for hours in (23.9, 24.1):
        node.world.unix_offset = hours * 3600
        codes.append(outcome(await node.submit(f'{hours}')))
    return codes


async def many_keys(node: Node) -> list[ResultCode]:
    """Submit more keys than the bucket may hold."""
    tasks = [node.submit(key, key=key) for key in KEYS]
    return [outcome(one) for one in await asyncio.gather(*tasks)]


def same_bucket(count: int) -> list[str]:
    """Find keys whose claims share a bucket."""
    keys = (str(number) for number in itertools.count())
    found = (key for key in keys if claim_key('s0', key, b'').bucket == 1)
    return list(itertools.islice(found, count))


Codes = Awaitable[list[ResultCode]]
Story = Callable[[Node], Codes]
KEYS = tuple(same_bucket(8))
OK = ResultCode.ok
UNKNOWN = ResultCode.outcome_unknown
REPLAYED = ResultCode.outcome_replayed
REUSED = ResultCode.key_reused
FULL = ResultCode.claims_full
FAILED = ResultCode.claim_failed


@pytest.mark.parametrize(
    ('story', 'send', 'claims', 'codes'),
    [
        (again, Send(), {}, (OK, REPLAYED, REUSED, OK)),
        (again, Send(), {'max_outcome_bytes': 3}, (OK, UNKNOWN, REUSED, OK)),
        (
            again,
            Send(code=ResultCode.shed),
            {},
            (ResultCode.shed,) * 4,
        ),
        (
            again,
            Send(code=ResultCode.bad_reply),
            {},
            (ResultCode.bad_reply, UNKNOWN, REUSED, ResultCode.bad_reply),
        ),
        (failing, Send(), {}, (UNKNOWN, UNKNOWN, REUSED, UNKNOWN)),
        (twice_at_once, Send(), {}, (OK, ResultCode.already_claimed)),
        (past_retention, Send(), {}, (OK, REPLAYED, OK)),
        (many_keys, Send(), {'bucket_limit_bytes': 1000}, (OK,) * 8),
        (
            many_keys,
            Send(),
            {'claims_limit_bytes': 400},
            (OK,) * 3 + (FULL,) * 5,
        ),
        (many_keys, Send(), {'max_waiting': 6}, (OK,) * 6 + (FAILED,) * 2),
    ],
)
def test_repeats(
    story: Story,
    send: Send,
    claims: dict[str, int],
    codes: tuple[ResultCode, ...],
) -> None:
    """A repeat could run again, or get another request's outcome."""
    world = World(sends=itertools.repeat(send))
    node = Node(world, claims=ClaimSettings(**claims))

    async def tell() -> list[ResultCode]:  # noqa: WPS430 - one use
        return await story(node)

    assert tuple(run_virtual(tell())) == codes
    largest = max(len(one.body) for one in world.store.stored.values())
    assert largest <= 1000


@pytest.mark.parametrize(
    ('first', 'codes'),
    [
        (ResultCode.not_owner, (OK, REPLAYED)),
        (ResultCode.stopping, (OK, REPLAYED)),
        (ResultCode.queue_full, (ResultCode.queue_full, OK)),
        (UNKNOWN, (UNKNOWN, UNKNOWN)),
    ],
)
def test_next_relay_gets_what_was_not_taken(
    first: ResultCode, codes: tuple[ResultCode, ...]
) -> None:
    """A slice that moves must cost no refusal, and nothing may run twice."""
    sends = itertools.chain(
        [Send(code=first, run_ms=None)], itertools.repeat(Send())
    )
    node = Node(World(sends=sends), relays=('r1', 'r2'))

    async def twice() -> list[ResultCode]:  # noqa: WPS430 - one use
        return [outcome(await node.submit(one)) for one in ('a', 'b')]

    assert tuple(run_virtual(twice())) == codes
    assert len(node.world.ran) <= 1


def test_claims_of_one_bucket_share_writes() -> None:
    """One write per order would run into the platform's limit."""
    node = Node(World())
    run_virtual(many_keys(node))
    # One read and write for all claims, the same for all outcomes.
    store = node.world.store
    assert store.calls == 4


@pytest.mark.parametrize(
    'body', [b'', b'{}', b'dragonflyramp claims 1\nx', b'\xff']
)
def test_malformed_bucket_is_left_alone(body: bytes) -> None:
    """Overwriting what cannot be read would forget claims."""
    node = Node(World())
    name = f'claims/{claim_key("s0", "k", b"").bucket}'
    store = node.world.store
    store.apply(name, body, 0)
    assert outcome(run_virtual(node.submit('a'))) is FAILED
    assert store.stored[name].body == body
    assert not node.world.sent

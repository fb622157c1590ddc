"""Test the callers' HTTP protocol over loopback, and the planned stop."""

import asyncio
import random
import types
from collections.abc import AsyncIterator, Mapping

import aiohttp
import attrs
import pytest
import pytest_asyncio

from dragonflyramp.callers import (
    Front,
    FrontParts,
    FrontSettings,
    start_server,
)
from dragonflyramp.messages import Submit, SubmitOutcome
from dragonflyramp.results import ResultCode
from tests.standins.front_cases import ALL, Case
from tests.standins.front_fakes import (
    DESK,
    Asked,
    FakeRelays,
    Reply,
    desk_source,
    report,
    run_submit,
    snapshot,
)
from tests.standins.object_stores import MemoryStore
from tests.standins.virtual_time import clock, run_virtual

#: Only guards against a test that hangs.
LIMIT_SECONDS = 20
DEADLINE = types.MappingProxyType({'X-Deadline-Ms': '60000'})
#: Only a caller that goes away ends such a search in time.
SLOW_DESK = attrs.evolve(DESK, deadline_ms=60_000)
KEYED = types.MappingProxyType({'Idempotency-Key': 'k', **DEADLINE})


@attrs.define
class Served:
    """Hold a front, its relays, and a client of its HTTP server."""

    links: FakeRelays
    front: Front
    client: aiohttp.ClientSession
    happened: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def search(self, request_id: str = '') -> aiohttp.ClientResponse:
        """Search with a long deadline."""
        headers = {'X-Request-Id': request_id, **DEADLINE}
        return await self.client.post(
            '/search/desk', data='{}', headers=headers
        )

    async def wait(self) -> None:
        """Wait for what a test's script announces."""
        async with asyncio.timeout(LIMIT_SECONDS):
            await self.happened.wait()
        self.happened.clear()


@pytest_asyncio.fixture
async def served() -> AsyncIterator[Served]:
    """Serve a front over loopback."""
    links = FakeRelays((report('r1', ALL, snapshot('A', total=40)),))
    front = Front(
        FrontParts(
            links=links,
            source=desk_source(len(ALL), SLOW_DESK),
            store=MemoryStore(),
            rng=random.Random(1),
            settings=FrontSettings(max_searches=1, notice_seconds=0),
        )
    )
    server = await start_server(front, '127.0.0.1', 0)
    url = f'http://127.0.0.1:{server.port}'
    async with aiohttp.ClientSession(url) as client:
        yield Served(links, front, client)
    await server.stop()


async def test_search_answer(served: Served) -> None:
    """Callers parse these fields."""
    served.links.behaviour = lambda asked: Reply(
        score=float(asked.shard[1]),
        code=ResultCode.shed if asked.shard == 's0' else ResultCode.ok,
    )
    reply = await served.search('mine')
    assert reply.status == 200
    assert await reply.json() == {
        'request_id': 'mine',
        'snapshot': 'A',
        'hits': [
            {'snapshot': 'A', 'id': f's{shard}', 'score': shard}
            for shard in (3, 2, 1)
        ],
        'coverage': {
            'merged': 30,
            'total': 40,
            'fraction': 0.75,
            'missing': [{'shard': 's0', 'code': 208}],
        },
    }


async def test_submit_answer_and_repeat(served: Served) -> None:
    """Callers parse these fields."""
    found = []
    for _ in range(2):
        reply = await served.client.post(
            '/submit/s0', data='{}', headers={'X-Request-Id': 'x', **KEYED}
        )
        found.append(await reply.json())
    outcome = {'request_id': 'x', 'outcome': {'booked': 1}}
    assert found == [
        {'replayed': False, **outcome},
        {'replayed': True, **outcome},
    ]


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'code'),
    [
        ('/search/desk', {}, '{}', ResultCode.bad_deadline),
        ('/search/desk', {'X-Deadline-Ms': '0'}, '{}', ResultCode.bad_deadline),
        (
            '/search/desk',
            {'X-Deadline-Ms': '-1'},
            '{}',
            ResultCode.bad_deadline,
        ),
        (
            '/search/desk',
            {'X-Deadline-Ms': '1e3'},
            '{}',
            ResultCode.bad_deadline,
        ),
        ('/search/desk', DEADLINE, '{', ResultCode.bad_request),
        ('/search/desk', DEADLINE, 'NaN', ResultCode.bad_request),
        ('/search/desk', DEADLINE, '[' * 50_000, ResultCode.bad_request),
        ('/search/desk', DEADLINE, '1' * 70_000, ResultCode.body_too_large),
        ('/search/none', DEADLINE, '{}', ResultCode.unknown_service),
        ('/submit/none', KEYED, '{}', ResultCode.unknown_service),
        ('/submit/desk', KEYED, '{}', ResultCode.not_a_shard),
        ('/submit/s0', DEADLINE, '{}', ResultCode.missing_idempotency_key),
        (
            '/submit/s0',
            {'Idempotency-Key': 'k' * 201, **DEADLINE},
            '{}',
            ResultCode.missing_idempotency_key,
        ),
    ],
)
async def test_refusals(
    served: Served,
    path: str,
    headers: Mapping[str, str],
    body: str,
    code: ResultCode,
) -> None:
    """A malformed request needs its own code and must not run."""
    reply = await served.client.post(path, data=body, headers=headers)
    assert reply.status == code.meaning.http_status
    refusal = await reply.json()
    assert len(refusal.pop('request_id')) == 32
    assert refusal == {
        'code': code.value,
        'name': code.name,
        'sentence': code.meaning.sentence,
        'run': 'not run',
    }
    assert not served.links.queries


@pytest.mark.parametrize('given', ['x' * 201, 'caf\u00e9\u00a0', ''])
async def test_bad_request_id_is_replaced(served: Served, given: str) -> None:
    """An unbounded or unprintable id would end up in logs and messages."""
    reply = await served.search(given)
    assert len((await reply.json())['request_id']) == 32


async def test_caller_that_goes_away(served: Served) -> None:
    """A search ends with its caller; a submit is finished and recorded."""

    def behaviour(asked: Asked) -> None:  # noqa: WPS430 - one use
        served.happened.set()

    async def on_submit(submit: Submit) -> SubmitOutcome:  # noqa: WPS430
        served.happened.set()
        await released.wait()
        return await run_submit(submit)

    released = asyncio.Event()
    served.links.behaviour = behaviour
    served.links.on_submit = on_submit
    for path in ('/search/desk', '/submit/s0'):
        call = served.client.post(path, data='{}', headers=KEYED)
        task = asyncio.ensure_future(call)
        await served.wait()
        task.cancel()
        await asyncio.wait([task])
    released.set()
    async with asyncio.timeout(LIMIT_SECONDS):
        await served.front.drain(served.front.parts.clock())
    assert [relay_id for relay_id, _ in served.links.cancelled] == ['r1']
    store = served.front.parts.store
    assert isinstance(store, MemoryStore)
    assert b' done ' in next(iter(store.stored.values())).body


async def test_searches_are_bounded(served: Served) -> None:
    """A burst could fill the memory instead of being refused."""

    def behaviour(asked: Asked) -> None:  # noqa: WPS430 - one use
        served.happened.set()

    served.links.behaviour = behaviour
    task = asyncio.create_task(served.search())
    await served.wait()
    reply = await served.search()
    assert (await reply.json())['name'] == 'front_full'
    task.cancel()
    await asyncio.wait([task])


async def test_endpoints_of_the_front(served: Served) -> None:
    """Load balancers and Prometheus call these paths."""
    for path in ('/healthz', '/metrics', '/readyz'):
        assert (await served.client.get(path)).status == 200
    served.links.current = ()
    assert (await served.client.get('/readyz')).status == 503


@pytest.mark.parametrize(
    ('is_configured', 'is_isolated', 'has_relays', 'is_ready'),
    [
        (True, False, True, True),
        (False, False, True, False),
        (True, True, True, False),
        (True, False, False, False),
    ],
)
def test_readiness(
    is_configured: bool, is_isolated: bool, has_relays: bool, is_ready: bool
) -> None:
    """A load balancer would keep sending to a front that cannot serve."""
    case = Case(lambda asked: Reply())
    case.source.isolated = is_isolated
    if not is_configured:
        case.source.current = None
    if not has_relays:
        case.links.current = ()
    assert case.front.is_ready(1) is is_ready


async def test_internal_error_has_a_code(served: Served) -> None:
    """An unexpected fault must answer and leave the daemon running."""
    served.links.inboxes = None  # type: ignore[assignment]
    reply = await served.search()
    assert (await reply.json())['name'] == 'internal_error'
    assert (await served.client.get('/healthz')).status == 200


async def drain_under_load(case: Case) -> list[object]:
    """Search before, during and after the notice time of 5 seconds."""
    running = asyncio.create_task(case.search())
    await asyncio.sleep(0)
    draining = asyncio.create_task(case.front.drain(clock()))
    await asyncio.sleep(4.95)
    is_ready = case.front.is_ready(clock())
    last = asyncio.create_task(case.search())
    await asyncio.sleep(0.06)
    refused = await case.search()
    assert not draining.done()
    await draining
    answers = [(await one).unwrap() for one in (running, last)]
    return [
        is_ready,
        refused.failure().code,
        *(answer.coverage.fraction for answer in answers),
    ]


def test_planned_stop_interrupts_nothing() -> None:
    """A stop could cut off requests that a load balancer still sends."""
    case = Case(lambda asked: Reply(delay_ms=90))
    told = run_virtual(drain_under_load(case))
    assert told == [False, ResultCode.stopping, 1, 1]

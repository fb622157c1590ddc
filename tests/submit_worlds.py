"""Submit keys to a running system whose processes fail at chosen steps."""

import asyncio
import contextlib
import itertools
import types
from collections.abc import AsyncIterator, Callable, Iterator
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs

from dragonflyramp.callers._claim_records import claim_key
from tests.http_calls import HttpCalls, Reply
from tests.outside import ServerOptions
from tests.programs import START_SECONDS
from tests.standins.hooks import Hook
from tests.systems import Daemon, System, SystemSpec, eventually, running

SERVICE = 'orders'
_TEXT = b"""
format = 1
user = "test"

[failure_domains.a]
region = "test"

[services.orders]
deadline_ms = 1000
slots = 6
connections = 30
cold_requests_per_second = 200
"""
_DOMAIN = 'a'
_FRONTS = 4
_RELAYS = 3
#: Shorter than the defaults, so that slices of a killed relay move sooner.
_FLAGS = types.MappingProxyType(
    {
        'renewal_period_seconds': 0.5,
        'lease_term_seconds': 2,
        'isolation_seconds': 2,
    }
)
_POLL_SECONDS = 0.01
_NOT_RUN = 'not run'
_KEYS = itertools.count()


@attrs.frozen(kw_only=True)
class Attempt:
    """Hold one request with a key and what its caller was told."""

    request_id: str
    code: str
    run: str
    outcome: Any = None

    @property
    def is_not_run(self) -> bool:
        """Tell whether the caller was told that it was not run."""
        return self.run == _NOT_RUN


@attrs.define(eq=False)
class Case:
    """Follow one idempotency key through all its requests."""

    calls: HttpCalls
    key: str
    order: str
    attempts: list[Attempt] = attrs.field(factory=list)
    _sent: int = 0

    @property
    def bucket(self) -> str:
        """Name the claim object of the key."""
        found = claim_key(SERVICE, self.key, b'').bucket
        return f'claims/{found}'

    @property
    def outcomes(self) -> list[Any]:
        """List the outcomes that callers got."""
        return [one.outcome for one in self.attempts if one.outcome]

    async def submit(self, front: Daemon, deadline_ms: int = 1000) -> Attempt:
        """Send the key once more and keep the answer."""
        self._sent += 1
        request_id = f'{self.key}/{self._sent}'
        code, run, outcome = 'closed', 'unknown', None
        with contextlib.suppress(aiohttp.ClientError):
            reply = await self.calls.submit(
                front.listen_address,
                SERVICE,
                {'order': self.order},
                key=self.key,
                deadline_ms=deadline_ms,
                request_id=request_id,
            )
            code, run, outcome = _read(reply)
        attempt = Attempt(
            request_id=request_id, code=code, run=run, outcome=outcome
        )
        self.attempts.append(attempt)
        return attempt

    def check(self, ran: list[str]) -> None:
        """Check the promises to callers against the requests that ran."""
        told = '\n'.join(map(str, self.attempts))
        own = [one for one in ran if one.rpartition('/')[0] == self.key]
        assert len(own) <= 1, f'ran more than once: {own}\n{told}'
        refused = {one.request_id for one in self.attempts if one.is_not_run}
        assert not refused & set(own), f'ran after "not run": {own}\n{told}'
        assert not self.outcomes or own, f'an answer without a run\n{told}'
        assert self.outcomes == self.outcomes[:1] * len(self.outcomes), told


@attrs.define(eq=False)
class HookSite:
    """Arm the hooks of one stand-in process."""

    calls: HttpCalls
    address: str

    async def arm(self, hook: Hook | None) -> None:
        """Arm a hook in place of the last one, whose calls go on."""
        order = {
            'is_change': True,
            'hook': hook and attrs.asdict(hook),
        }
        await self.calls.post(self.address, '/hook', order)

    async def caught(self) -> int:
        """Return how many calls were caught since the hook was armed."""
        reply = await self.calls.post(self.address, '/hook', {})
        return int(reply.body['caught'])


@attrs.define(eq=False)
class World:
    """Run a system in which daemons die and are replaced."""

    system: System
    cases: list[Case] = attrs.field(factory=list)
    _starts: list[asyncio.Task[Daemon]] = attrs.field(factory=list)

    @property
    def platform(self) -> HookSite:
        """Return the hooks of the platform."""
        return HookSite(self.system.calls, self.system.platform.address)

    @property
    def servers(self) -> HookSite:
        """Return the hooks of the backend servers."""
        processes = self.system.backends.processes
        return HookSite(self.system.calls, processes[0].address)

    def new_case(self, order: str = '') -> Case:
        """Take a key that no other test uses, by default with its own body."""
        key = f'key-{next(_KEYS)}'
        case = Case(self.system.calls, key, order or key)
        self.cases.append(case)
        return case

    def cases_of_one_bucket(self) -> Iterator[Case]:
        """Take keys whose claims are in the same object."""
        first = Case(self.system.calls, f'key-{next(_KEYS)}', '')
        for number in _KEYS:
            key = f'key-{number}'
            case = Case(self.system.calls, key, key)
            if case.bucket == first.bucket:
                self.cases.append(case)
                yield case

    async def ready_fronts(self, count: int) -> list[Daemon]:
        """Wait for a number of fronts, the longest running ones first."""
        await eventually(lambda: self._is_enough(count))
        return self.system.fronts[:count]

    async def replace(self, daemon: Daemon) -> None:
        """Wait for the end of a killed daemon and start another one."""
        await daemon.program.wait()
        system = self.system
        if daemon in system.fronts:
            system.fronts.remove(daemon)
            start = system.start_front(_DOMAIN)
        else:
            system.relays.remove(daemon)
            # A newer member at the address tells that the old one is gone,
            # without which a slice whose deputies died too stays dark.
            start = system.start_relay(
                _DOMAIN, member_address=daemon.member_address
            )
        self._starts.append(asyncio.create_task(start))

    async def serving(self, front: Daemon) -> Daemon:
        """Return the relay that sent a new submit of a front."""
        found: list[Daemon] = []

        async def is_served() -> bool:  # noqa: WPS430 - a condition
            before = await self._sends()
            answer = await self.new_case().submit(front)
            after = await self._sends()
            found.extend(
                relay
                for relay in self.system.relays
                if after.get(relay.member_id, 0)
                > before.get(relay.member_id, 0)
            )
            return answer.code == 'ok'

        await eventually(is_served)
        return found[-1]

    async def resend_until(
        self, case: Case, front: Daemon, codes: set[str]
    ) -> Attempt:
        """Resend a key until the answer has one of the codes."""
        async with asyncio.timeout(START_SECONDS):
            attempt = await case.submit(front)
            while attempt.code not in codes:
                await asyncio.sleep(_POLL_SECONDS)
                attempt = await case.submit(front)
        return attempt

    async def ran(self) -> list[str]:
        """List the ids of all requests that backend servers ran."""
        records = await self.system.backends.records()
        return [
            request_id
            for record in records.values()
            for request_id in record['request_ids']
        ]

    async def runs(self, case: Case) -> int:
        """Count the runs of a key, whatever the id of the request."""
        records = await self.system.backends.records()
        return sum(
            record['runs_by_key'].get(case.key, 0)
            for record in records.values()
        )

    async def check(self) -> None:
        """Check all keys so far."""
        ran = await self.ran()
        for case in self.cases:
            case.check(ran)

    async def close(self) -> None:
        """Wait for the daemons that still start."""
        await asyncio.gather(*self._starts)

    async def _sends(self) -> dict[str, int]:
        return {
            relay.member_id: await relay.count('sends')
            for relay in tuple(self.system.relays)
        }

    async def _is_enough(self, count: int) -> bool:
        fronts = self.system.fronts[:count]
        states = [await front.is_ready() for front in fronts]
        return states.count(True) == count


@contextlib.asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Run a system, and check every key once more at the end."""
    spec = SystemSpec(
        text=_TEXT,
        fronts=_FRONTS,
        relays=_RELAYS,
        flags=_FLAGS,
        servers=ServerOptions(common={'service_ms': 1}),
    )
    async with running(spec) as system, _settled(World(system)) as world:
        yield world
        await world.check()


@contextlib.asynccontextmanager
async def _settled(world: World) -> AsyncIterator[World]:
    try:
        yield world
    finally:
        await world.close()


async def poll(
    site: HookSite, is_over: Callable[[], bool], count: int = 1
) -> bool:
    """Wait until a hook caught a number of calls; False if over before."""
    async with asyncio.timeout(30):
        while await site.caught() < count:
            if is_over():
                return await site.caught() >= count
            await asyncio.sleep(_POLL_SECONDS)
    return True


def _read(reply: Reply) -> tuple[str, str, Any]:
    body = reply.body
    if reply.status != HTTPStatus.OK:
        return body['name'], body['run'], None
    code = 'outcome_replayed' if body['replayed'] else 'ok'
    return code, 'run', body['outcome']

"""Test the quotas of tenants with processes of fronts."""

import asyncio
import pathlib
import time
from types import MappingProxyType

import aiohttp
import attrs

from tests.deployments import (
    HOST,
    Deployment,
    FrontProcess,
    make_configuration,
    run_deployment,
)
from tests.quota_models import greatest_window

_RATE_PER_SECOND = 12
_BURST = 6
_WINDOW_SECONDS = 5
_BOUNDS = MappingProxyType(
    {
        'grace_s': 6,
        'retry_budget_slack': 50,
        'quota_window_s': _WINDOW_SECONDS,
        'quota_overshoot': 0.1,
        'quota_slack': 20,
    }
)
_MAX_IN_WINDOW = (_RATE_PER_SECOND * _WINDOW_SECONDS + _BURST) * 1.1 + 20
_TENANTS = (
    {
        'name': 'north',
        'api_keys': ['key-n'],
        'rate_per_s': _RATE_PER_SECOND,
        'burst': _BURST,
    },
)
#: Longer than a term, in which a front that has started owns nothing.
_START_SECONDS = 8
_PHASE_SECONDS = 6.0
#: Requests are sent at this multiple of the limit.
_EXCESS = 3


@attrs.define(eq=False)
class _Caller:
    """Send requests of one tenant to one front at a steady rate."""

    session: aiohttp.ClientSession
    front: FrontProcess
    served_at_seconds: list[float] = attrs.field(factory=list)
    retry_afters: list[float] = attrs.field(factory=list)
    other_statuses: list[int] = attrs.field(factory=list)

    async def send_for(self, seconds: float) -> None:
        """Send requests above the limit for some time."""
        interval_seconds = 1 / (_EXCESS * _RATE_PER_SECOND)
        async with asyncio.TaskGroup() as group:
            for _ in range(int(seconds / interval_seconds)):
                group.create_task(self._send())
                await asyncio.sleep(interval_seconds)

    async def _send(self) -> None:
        address = self.front.frontend_address
        headers = {
            'Host': HOST,
            'Request-Id': 'q',
            'Deadline-Ms': '9000',
            'Authorization': 'Bearer key-n',
        }
        async with self.session.get(
            f'http://{address}/lookup/x', headers=headers
        ) as reply:
            await reply.read()
            if reply.status == 200:
                self.served_at_seconds.append(time.monotonic())
            elif reply.status == 429:
                self.retry_afters.append(float(reply.headers['Retry-After']))
            else:
                self.other_statuses.append(reply.status)


async def _start_fronts(deployment: Deployment) -> None:
    store = deployment.store_server.store
    store.put('config', 'main', make_configuration(2, tenants=_TENANTS))
    for index, zone in enumerate(('zone-a', 'zone-b', 'zone-c', 'zone-a')):
        await deployment.start_front(
            f'front-{index}',
            zone=zone,
            bounds=dict(_BOUNDS),
            contracts=['tenants', 'quota'],
        )
    for front in deployment.fronts:
        await front.wait_ready()
    await asyncio.sleep(_START_SECONDS)


async def test_one_front_gets_the_whole_quota(tmp_path: pathlib.Path) -> None:
    """A quota must follow its callers, also after the loss of a hub.

    A front with a fixed quarter would serve a quarter of the limit.
    """
    async with run_deployment(tmp_path, front_count=0) as deployment:
        await _start_fronts(deployment)
        async with aiohttp.ClientSession() as session:
            callers = [_Caller(session, deployment.fronts[0])]
            await callers[0].send_for(_PHASE_SECONDS)
            whole = _RATE_PER_SECOND * _PHASE_SECONDS
            assert len(callers[0].served_at_seconds) >= 0.9 * whole
            _check_refusals(callers[0])
            for killed in deployment.fronts[2:]:
                await killed.program.kill()
            callers.append(_Caller(session, deployment.fronts[1]))
            await asyncio.gather(
                *(caller.send_for(2 * _PHASE_SECONDS) for caller in callers)
            )
    served = [at for caller in callers for at in caller.served_at_seconds]
    assert greatest_window(served, _WINDOW_SECONDS) <= _MAX_IN_WINDOW
    # The two lost fronts keep their shares for a minute.
    latest = [at for at in served if at > max(served) - _PHASE_SECONDS]
    assert len(latest) >= 0.4 * whole
    for caller in callers:
        _check_refusals(caller)


def _check_refusals(caller: _Caller) -> None:
    assert not caller.other_statuses
    assert caller.retry_afters
    assert max(caller.retry_afters) <= _WINDOW_SECONDS

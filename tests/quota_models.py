"""Model daemons that share quotas, for tests without network."""

import asyncio
import itertools
import random
import selectors
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

import attrs

from dragonflyramp.machine_settings import QuotaBounds
from dragonflyramp.quotas import (
    DistributedQuotas,
    GrantClient,
    GrantReply,
    GrantRequest,
    KnownDaemons,
    LeaseTable,
    OwnedShare,
    QuotaLimit,
    QuotaNode,
    QuotaServer,
    ShareLeases,
)

BOUNDS = QuotaBounds(window_seconds=5, overshoot=0.1, slack=20)
_Returned = TypeVar('_Returned')


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances a clock in place of waiting."""

    def __init__(self) -> None:
        """Start at a fixed time."""
        super().__init__()
        self.now_seconds = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready now; the time that it would wait has passed."""
        self.now_seconds += timeout or 0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on a virtual clock, which does not sleep."""

    def __init__(self) -> None:
        """Start at a fixed time."""
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self.selector.now_seconds


def run_virtually(coroutine: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


def create_node(
    name: str,
    clock: Callable[[], float],
    find_daemons: Callable[[], KnownDaemons],
    client: GrantClient,
    limits: Mapping[str, QuotaLimit],
) -> QuotaNode:
    """Create the part of a new process that takes part in quotas."""
    process_id = f'{name}/{next(_PROCESS_NUMBERS)}'
    return QuotaNode(
        server=QuotaServer(
            leases=LeaseTable(
                own_name=name,
                process_id=process_id,
                started_at_seconds=clock(),
            ),
            bounds=BOUNDS,
            find_limit=limits.get,
            rank=lambda key: int(name.rpartition('-')[2]),
            grant_ids=_GRANT_IDS,
        ),
        leases=ShareLeases(
            own_name=name,
            process_id=process_id,
            owned=OwnedShare(started_at_seconds=clock()),
        ),
        clock=clock,
        find_daemons=find_daemons,
        is_confirmed=lambda: True,
        is_active=lambda: True,
        client=client,
    )


@attrs.define(eq=False)
class Cluster(GrantClient):
    """Daemons that poll three hubs and ask them for grants."""

    count: int
    limits: Mapping[str, QuotaLimit]
    rng: random.Random
    quotas: list[DistributedQuotas] = attrs.field(factory=list)
    message_count: int = 0
    #: Least and greatest time of a message one way.
    latency_seconds: tuple[float, float] = (0.001, 0.003)
    #: Names of daemons that do not answer.
    lost: set[str] = attrs.field(factory=set)

    async def request_grants(
        self, hub_name: str, request: GrantRequest
    ) -> GrantReply | None:
        """Send a message to a hub, and wait for the answer."""
        self.message_count += 1
        await asyncio.sleep(self.rng.uniform(*self.latency_seconds))
        if hub_name in self.lost:
            return None
        reply = self._node(hub_name).answer_request(request)
        await asyncio.sleep(self.rng.uniform(*self.latency_seconds))
        return reply

    def start(self, group: asyncio.TaskGroup) -> list[asyncio.Task[None]]:
        """Start all daemons."""
        clock = asyncio.get_running_loop().time
        for index in range(self.count):
            node = create_node(
                f'front-{index}', clock, self._find_daemons, self, self.limits
            )
            self.quotas.append(DistributedQuotas(node))
        polls = (
            self._poll(quotas.node, hub_name)
            for quotas in self.quotas
            for hub_name in self._hub_names()
        )
        runs = (quotas.run() for quotas in self.quotas)
        return [group.create_task(work) for work in (*polls, *runs)]

    async def _poll(self, node: QuotaNode, hub_name: str) -> None:
        while True:
            if hub_name not in self.lost and hub_name != node.server.own_name:
                hub = self._node(hub_name)
                offer = node.build_offer(hub_name)
                hub.accept_offer(offer)
                await asyncio.sleep(self.rng.uniform(0, 2))
                node.record_stamp(hub_name, hub.build_stamp(offer))
            await asyncio.sleep(0.02)

    def _node(self, name: str) -> QuotaNode:
        return self.quotas[int(name.rpartition('-')[2])].node

    def _hub_names(self) -> tuple[str, ...]:
        return ('front-0', 'front-1', 'front-2')

    def _find_daemons(self) -> KnownDaemons:
        hub_names = [
            name for name in self._hub_names() if name not in self.lost
        ]
        return KnownDaemons(self.count, True, tuple(hub_names))


def greatest_window(times: list[float], window_seconds: float) -> int:
    """Return the greatest number of times in any window."""
    times = sorted(times)
    first = 0
    greatest = 0
    for index, time_seconds in enumerate(times):
        while times[first] <= time_seconds - window_seconds:
            first += 1
        greatest = max(greatest, index - first + 1)
    return greatest


_PROCESS_NUMBERS = itertools.count()
_GRANT_IDS = itertools.count(1)

"""Hold a front over scripted relays for the tests of searches."""

import random

import attrs
from returns.result import Result

from dragonflyramp.callers import (
    Front,
    FrontParts,
    FrontPolicies,
    Refusal,
    SearchAnswer,
    SearchRequest,
)
from dragonflyramp.messages import Report
from dragonflyramp.models import Service
from dragonflyramp.results import ResultCode
from tests.standins.front_fakes import (
    DESK,
    Behaviour,
    FakeRelays,
    FakeSource,
    desk_source,
    report,
    snapshot,
)
from tests.standins.object_stores import MemoryStore
from tests.standins.virtual_time import clock, run_virtual

Found = Result[SearchAnswer, Refusal]
ALL = ('s0', 's1', 's2', 's3')
TWO_RELAYS = tuple(
    report(relay_id, ALL, snapshot('A', total=40)) for relay_id in ('r1', 'r2')
)
CANARY = attrs.evolve(DESK, canary_shards=2)


@attrs.define
class Case:
    """Hold one front over scripted relays and four shards of 10 documents."""

    behaviour: Behaviour
    reports: tuple[Report, ...] = TWO_RELAYS
    desk: Service = DESK
    policies: FrontPolicies = FrontPolicies()
    links: FakeRelays = attrs.field(init=False)
    source: FakeSource = attrs.field(init=False)
    front: Front = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the front."""
        self.links = FakeRelays(self.reports, self.behaviour)
        self.source = desk_source(len(ALL), self.desk)
        self.front = Front(
            FrontParts(
                links=self.links,
                source=self.source,
                store=MemoryStore(),
                rng=random.Random(1),
                policies=self.policies,
                clock=clock,
            )
        )

    async def search(self, body: bytes = b'{}') -> Found:
        """Search with a deadline of 200 ms."""
        return await self.front.search(
            SearchRequest(
                request_id='x',
                service='desk',
                body=body,
                deadline_ms=200,
                received_seconds=clock(),
            )
        )

    def answer(self) -> SearchAnswer:
        """Run one search that is expected to be answered."""
        return run_virtual(self.search()).unwrap()


def codes(answer: SearchAnswer) -> dict[str, ResultCode]:
    """Map the missing shards to their codes."""
    return {one.shard: one.code for one in answer.coverage.missing}

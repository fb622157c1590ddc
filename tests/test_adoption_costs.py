"""Test that one change is not computed again for each who needs it."""

import time

import attrs

from dragonflyramp.members import AdoptedTexts, MembershipSettings
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import MemberDescription, Role
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._offers import Offers
from dragonflyramp.members._texts import RootFacts, Source, Text
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.models import MemberId
from dragonflyramp.slices import slice_map
from tests.standins.member_calls import CutCalls, Links
from tests.standins.member_texts import (
    FakeCodec,
    configuration,
    parts_of,
    root_of,
)

_OWN = MemberId('own')


@attrs.define
class CountingCodec(FakeCodec):
    """Count the deltas."""

    deltas: int = 0

    def make_delta(self, base: bytes, root: bytes) -> bytes:
        """Count and make a delta."""
        self.deltas += 1
        return super().make_delta(base, root)


def make_text(number: int, *services: str) -> Text:
    """Make a text that names services."""
    parts = {part.sha256: part.body for part in parts_of(services)}
    return Text(
        root=root_of(number, services),
        facts=RootFacts(number, tuple(parts)),
        parts=parts,
        configuration=configuration(number, services),
        source=Source.platform,
    )


def test_offers_share_a_delta() -> None:
    """Guards against a delta of the whole root for each of 31 members."""
    settings = MembershipSettings()
    own = MemberDescription(
        member_id=_OWN,
        role=Role.relay,
        address='127.0.0.1:1',
        status_address='',
        failure_domain='centro',
    )
    table = MemberLeaseTable(_OWN, settings, ConfigurationFacts)
    view = GroupView(own, (), time.monotonic, table)
    texts = AdoptedTexts()
    codec = CountingCodec()
    calls = CutCalls(own=own.address, links=Links())
    offers = Offers(calls, view, settings, texts, codec)
    members = [MemberId(f'member-{index}') for index in range(31)]
    for number, text in enumerate(
        (make_text(1, 'a'), make_text(2, 'a', 'b'), make_text(3, 'a', 'c')),
        start=1,
    ):
        texts.adopt(text)
        made = [offers.offer_of(text, member) for member in members]
        assert {one.number for one in made} == {number}
        assert {one.whole for one in made} == {number == 1}
        assert codec.deltas == number - 1


def test_slices_follow_the_configuration() -> None:
    """Guards against kept slices of another configuration."""
    first, second = configuration(1, ['a']), configuration(2, ['b'])
    for asked, shard in ((first, 'a'), (second, 'b'), (first, 'a')):
        assert set(slice_map(asked).by_shard) == {shard}
    assert slice_map(first) is slice_map(first)

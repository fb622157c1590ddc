"""Offer adopted configurations to the other members of the group."""

from collections.abc import Set

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._member_links import MemberCalls
from dragonflyramp.members._messages import Offer, PartContent
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._text_fetches import MAX_PARTS_BYTES
from dragonflyramp.members._texts import (
    AdoptedTexts,
    Source,
    Text,
    TextCodec,
)
from dragonflyramp.models import MemberId


@attrs.define(eq=False)
class Offers:
    """Offer each member what this daemon did not get from a member.

    A member that does not have the base of a delta fetches the whole text;
    one that misses the offer learns of the number from heartbeats.
    """

    _calls: MemberCalls
    _view: GroupView
    _settings: MembershipSettings
    _texts: AdoptedTexts
    _codec: TextCodec
    _offered: dict[MemberId, int] = attrs.field(factory=dict)
    _known: dict[MemberId, int] = attrs.field(factory=dict)
    _latest: Offer | None = None

    def members(self) -> frozenset[MemberId]:
        """List the other members."""
        return frozenset(entry.member_id for entry in self._view.peers())

    async def run_once(self, member_id: MemberId) -> None:
        """Wait for the next configuration and offer it to one member."""
        offered = self._offered.setdefault(member_id, self._texts.number)
        text = await self._texts.wait_text(offered)
        self._offered[member_id] = text.facts.number
        if text.source is not Source.member:
            await self.send(member_id, text)

    async def send(self, member_id: MemberId, text: Text) -> None:
        """Offer a text to a member that the record names."""
        member = self._view.record.members.get(member_id)
        if member is None:
            return
        reply = await self._calls.offer(
            member.address,
            self.offer_of(text, member_id),
            self._settings.renewal_period_seconds,
        )
        if is_successful(reply):
            self._view.contacts.note_member()
            self._known[member_id] = reply.unwrap().number

    def offer_of(self, text: Text, member_id: MemberId) -> Offer:
        """Make the offer of a text: a delta if the base is likely known."""
        number = text.facts.number
        known = self._known.get(member_id, self._texts.previous_number)
        base = self._texts.root_of(known)
        if base is None or known >= number:
            base, known = b'', 0
        # Nearly all members know the same base. At 22,000 services a delta
        # takes about 12 ms, which 31 members would cost each time.
        latest = self._latest
        if latest is None or (latest.number, latest.base_number) != (
            number,
            known,
        ):
            latest = self._offer(text, base, known)
            self._latest = latest
        return latest

    def _offer(self, text: Text, base: bytes, base_number: int) -> Offer:
        root = text.root
        unchanged: frozenset[str] = frozenset()
        if base_number:
            root = self._codec.make_delta(base, text.root)
            facts = self._codec.decode_root(base).unwrap()
            unchanged = frozenset(facts.part_hashes)
        return Offer(
            member_id=self._view.own.member_id,
            number=text.facts.number,
            base_number=base_number,
            root=root,
            whole=base_number == 0,
            parts=_bounded(text, unchanged),
        )


def _bounded(text: Text, unchanged: Set[str]) -> tuple[PartContent, ...]:
    """Give the changed parts, or none if they do not fit a message."""
    parts = [
        PartContent(sha256, body)
        for sha256, body in text.parts.items()
        if sha256 not in unchanged
    ]
    size_bytes = sum(len(part.body) for part in parts)
    return tuple(parts) if size_bytes <= MAX_PARTS_BYTES else ()

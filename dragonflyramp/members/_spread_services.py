"""Answer the calls of other members on configuration."""

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._group_views import GroupView, is_isolated
from dragonflyramp.members._messages import (
    Fetch,
    FetchReply,
    Offer,
    OfferReply,
)
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._text_adoption import TextAdoption
from dragonflyramp.members._text_fetches import answer_fetch
from dragonflyramp.members._texts import Source
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class SpreadService:
    """Implement SpreadServer for one daemon."""

    _view: GroupView
    _settings: MembershipSettings
    _adoption: TextAdoption

    async def offer(self, request: Offer) -> OfferReply:
        """Adopt an offered configuration if its number is higher.

        What could not be adopted from the offer is fetched whole.
        """
        self._view.contacts.note_member()
        texts = self._adoption.texts
        if request.number > texts.number:
            await self._take(request)
            sender = self._view.record.members.get(request.member_id)
            texts.hint(request.number, sender.address if sender else '')
        return OfferReply(code=ResultCode.ok, number=texts.number)

    async def fetch(self, request: Fetch) -> FetchReply:
        """Give the adopted configuration if its number is higher.

        The code tells whether this daemon itself may have missed a change.
        """
        self._view.contacts.note_member()
        now_seconds = self._view.clock()
        code = ResultCode.ok
        if is_isolated(self._view, self._settings, now_seconds):
            code = ResultCode.isolated
        return answer_fetch(self._adoption.texts.text, request, code)

    async def _take(self, request: Offer) -> None:
        root = request.root
        if not request.whole:
            base = self._adoption.texts.root_of(request.base_number)
            if base is None:
                return
            applied = self._adoption.codec.apply_delta(base, request.root)
            if not is_successful(applied):
                return
            root = applied.unwrap()
        await self._adoption.take(root, request.parts, Source.member)

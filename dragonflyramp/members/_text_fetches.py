"""Fetch configurations from other members and answer their fetches."""

from collections.abc import Iterable, Iterator

import attrs
from returns.pipeline import is_successful
from returns.result import Result, Success

from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._member_links import MemberCalls
from dragonflyramp.members._messages import Fetch, FetchReply, PartContent
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._text_adoption import TextAdoption
from dragonflyramp.members._text_sources import verified
from dragonflyramp.members._texts import Source, Text
from dragonflyramp.results import ResultCode

#: Parts in one message, in bytes; the rest is asked for again.
MAX_PARTS_BYTES = 1_000_000

#: Rounds to fetch one text, which bounds it to some 64 MB.
_MAX_ROUNDS = 64


@attrs.define(eq=False)
class MemberTexts:
    """Fetch the whole text of another member."""

    _calls: MemberCalls
    _view: GroupView
    _settings: MembershipSettings
    _adoption: TextAdoption

    async def fetch(self, address: str) -> ResultCode:
        """Adopt what a member has if its number is higher.

        Return ok also when it is not, member_unreachable, or bad_message
        when the member sends a root without its parts.
        """
        started_seconds = self._view.clock()
        gathered: dict[str, bytes] = {}
        for _ in range(_MAX_ROUNDS):
            reply = await self._ask(address, gathered)
            if not is_successful(reply):
                return reply.failure()
            fetched = reply.unwrap()
            code = await self._take(fetched, gathered)
            if code is not None:
                self._note_newest(fetched, started_seconds)
                return code
        return ResultCode.bad_message

    async def _take(
        self, fetched: FetchReply, gathered: dict[str, bytes]
    ) -> ResultCode | None:
        """Adopt what was fetched; None while parts are missing."""
        if fetched.number <= self._adoption.texts.number:
            return ResultCode.ok
        gathered.update(verified(fetched.parts))
        if fetched.parts and not self._is_whole(fetched, gathered):
            return None
        return await self._adoption.take(
            fetched.root, _as_parts(gathered), Source.member
        )

    def _note_newest(self, fetched: FetchReply, started_seconds: float) -> None:
        """Trust a member that had contact and the same number.

        One that has a lower number is itself behind.
        """
        is_same = fetched.number == self._adoption.texts.number
        if is_same and fetched.code is ResultCode.ok:
            self._view.contacts.note_newest(started_seconds)

    async def _ask(
        self, address: str, gathered: dict[str, bytes]
    ) -> Result[FetchReply, ResultCode]:
        text = self._adoption.texts.text
        adopted = text.parts if text else {}
        reply = await self._calls.fetch(
            address,
            Fetch(
                member_id=self._view.own.member_id,
                known_number=self._adoption.texts.number,
                known_parts=(*adopted, *gathered),
            ),
            self._settings.lease_term_seconds,
        )
        if is_successful(reply):
            self._view.contacts.note_member()
        return reply

    def _is_whole(
        self, fetched: FetchReply, gathered: dict[str, bytes]
    ) -> bool:
        facts = self._adoption.codec.decode_root(fetched.root)
        missing = facts.map(lambda one: self._adoption.missing(one, gathered))
        return missing == Success([])


def answer_fetch(
    text: Text | None, request: Fetch, code: ResultCode
) -> FetchReply:
    """Give the root, and what one message holds of the missing parts."""
    if text is None or text.facts.number <= request.known_number:
        number = text.facts.number if text else 0
        return FetchReply(code=code, number=number)
    known = frozenset(request.known_parts)
    missing = [
        PartContent(sha256, body)
        for sha256, body in text.parts.items()
        if sha256 not in known
    ]
    return FetchReply(
        code=code,
        number=text.facts.number,
        root=text.root,
        parts=tuple(_first_of(missing)),
    )


def _first_of(parts: Iterable[PartContent]) -> Iterator[PartContent]:
    """Give parts while they fit into one message, and at least one."""
    size_bytes = 0
    for part in parts:
        size_bytes += len(part.body)
        if 0 < size_bytes - len(part.body) and size_bytes > MAX_PARTS_BYTES:
            return
        yield part


def _as_parts(gathered: dict[str, bytes]) -> list[PartContent]:
    return [PartContent(sha256, body) for sha256, body in gathered.items()]

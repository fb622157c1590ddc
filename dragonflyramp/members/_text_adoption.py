"""Make an adoptable text of a root and its parts."""

import asyncio
from collections.abc import Iterable, Mapping

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp.members._messages import PartContent
from dragonflyramp.members._text_sources import PlatformTexts, verified
from dragonflyramp.members._texts import (
    AdoptedTexts,
    RootFacts,
    Source,
    Text,
    TextCodec,
)
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class TextAdoption:
    """Adopt roots of higher numbers once all their parts are there.

    What cannot be adopted changes nothing; its number is remembered, so
    that it is tried again from the platform and from other members.
    """

    codec: TextCodec
    texts: AdoptedTexts
    _platform: PlatformTexts

    async def take(
        self, root: bytes, parts: Iterable[PartContent], source: Source
    ) -> ResultCode:
        """Adopt a root; read parts that are missing at the platform.

        Return ok also for a number that is not higher, object_missing when
        parts are missing, or why the text is malformed.
        """
        facts = self.codec.decode_root(root)
        if not is_successful(facts):
            self.texts.hint(self.texts.number + 1, '')
            return self._refuse(facts.failure())
        number = facts.unwrap().number
        if number <= self.texts.number:
            if number < self.texts.number:
                counters.add('older_configurations', source.value)
            return ResultCode.ok
        self.texts.hint(number, '')
        text = await self._assemble(root, facts.unwrap(), parts, source)
        if not is_successful(text):
            return self._refuse(text.failure())
        self.texts.adopt(text.unwrap())
        return ResultCode.ok

    def is_adopted(self, root: bytes) -> bool:
        """Tell whether a root has the adopted number."""
        facts = self.codec.decode_root(root)
        return facts.map(lambda one: one.number) == Success(self.texts.number)

    def missing(
        self, facts: RootFacts, gathered: Mapping[str, bytes]
    ) -> list[str]:
        """List the parts of a root that are neither adopted nor gathered."""
        adopted = self.texts.text.parts if self.texts.text else {}
        return [
            sha256
            for sha256 in dict.fromkeys(facts.part_hashes)
            if sha256 not in adopted and sha256 not in gathered
        ]

    async def _assemble(
        self,
        root: bytes,
        facts: RootFacts,
        given: Iterable[PartContent],
        source: Source,
    ) -> Result[Text, ResultCode]:
        gathered = verified(given)
        if self.texts.text:
            gathered = {**self.texts.text.parts, **gathered}
        missing = self.missing(facts, gathered)
        if missing:
            gathered.update(await self._platform.read_parts(missing))
        if self.missing(facts, gathered):
            return Failure(ResultCode.object_missing)
        parts = {sha256: gathered[sha256] for sha256 in facts.part_hashes}
        configuration = await asyncio.to_thread(
            self.codec.assemble, root, parts
        )
        return configuration.map(
            lambda assembled: Text(
                root=root,
                facts=facts,
                parts=parts,
                configuration=assembled,
                source=source,
            )
        )

    def _refuse(self, code: ResultCode) -> ResultCode:
        counters.add('refused_texts', code.name)
        return code

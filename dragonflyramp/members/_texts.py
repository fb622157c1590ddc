"""Keep the adopted configuration with the text that it came from."""

import asyncio
import collections
import enum
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs
from loguru import logger
from returns.result import Result

from dragonflyramp import traces
from dragonflyramp.metrics import counters
from dragonflyramp.models import Configuration
from dragonflyramp.results import ResultCode

#: Numbers whose roots are kept as the bases of deltas.
_KEPT_ROOTS = 8


@attrs.frozen
class RootFacts:
    """Hold what spreading needs of a root object."""

    number: int
    part_hashes: tuple[str, ...]


class TextCodec(Protocol):
    """Read and write the form in which the operators' text is stored.

    Every method is a pure function of its arguments. The methods that
    fail do so with a result code of the 400 block or with bad_message.
    """

    def decode_root(self, root: bytes) -> Result[RootFacts, ResultCode]:
        """Read the number and the SHA-256 of each part, in order."""

    def assemble(
        self, root: bytes, parts: Mapping[str, bytes]
    ) -> Result[Configuration, ResultCode]:
        """Build the configuration; `parts` has all that the root lists.

        It may run in another thread, because parsing a long text takes
        longer than heartbeats can wait.
        """

    def make_delta(self, base: bytes, root: bytes) -> bytes:
        """Encode what makes one root out of another."""

    def apply_delta(
        self, base: bytes, delta: bytes
    ) -> Result[bytes, ResultCode]:
        """Make the root again that the delta was made for."""


class Source(enum.Enum):
    """Name where a configuration came from."""

    platform = 'platform'
    member = 'member'
    operator = 'operator'


@attrs.frozen(kw_only=True)
class Text:
    """Hold one configuration with its root and all parts of its text."""

    root: bytes
    facts: RootFacts
    parts: Mapping[str, bytes]
    configuration: Configuration
    source: Source


@attrs.define(eq=False)
class Hints:
    """Remember which members showed higher numbers than the adopted one.

    Hints are due from the start, because nothing is adopted yet.
    """

    _highest: int = 1
    _addresses: dict[str, int] = attrs.field(factory=dict)
    _due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _raised: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Make the first look for a configuration due."""
        self._due.set()

    def note(self, number: int, address: str = '') -> None:
        """Note a number and, unless empty, who has it."""
        if number > self._highest:
            self._highest = number
            self._raised.set()
            self._raised = asyncio.Event()
        if address:
            self._addresses[address] = number
        self._due.set()

    def take_addresses(self) -> list[str]:
        """Give the members with the highest numbers first, each once."""
        by_number = self._addresses
        self._addresses = {}
        return sorted(by_number, key=lambda one: -by_number[one])

    def reach(self, number: int) -> None:
        """Forget what is not above an adopted number."""
        if number >= self._highest:
            self._addresses.clear()
            self._due.clear()

    @property
    def is_due(self) -> bool:
        """Tell whether a number above the adopted one is known."""
        return self._due.is_set()

    async def wait_due(self) -> None:
        """Wait while nothing higher than the adopted number is known."""
        await self._due.wait()

    async def wait_raised(self) -> None:
        """Wait until a number above all earlier ones is noted."""
        await self._raised.wait()


@attrs.define(eq=False)
class AdoptedTexts:
    """Adopt texts of higher numbers only; implement AdoptedConfiguration."""

    text: Text | None = None
    hints: Hints = attrs.field(factory=Hints)
    _roots: collections.OrderedDict[int, bytes] = attrs.field(
        factory=collections.OrderedDict
    )
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    #: Only traces need the time: the numbers alone decide.
    _clock: Callable[[], float] = time.monotonic

    @property
    def current(self) -> Configuration | None:
        """Return the adopted configuration, or None before the first."""
        return self.text.configuration if self.text else None

    @property
    def number(self) -> int:
        """Return the adopted number, or 0 before the first."""
        return self.text.facts.number if self.text else 0

    def hint(self, number: int, address: str) -> None:
        """Note that a member at an address showed a number."""
        if number > self.number:
            self.hints.note(number, address)

    def adopt(self, text: Text) -> bool:
        """Adopt a text unless its number is not higher."""
        number = text.facts.number
        if traces.decisions.is_on:
            traces.decisions.write(
                'adopt',
                self._clock(),
                {'held': self.number, 'number': number},
            )
        if number <= self.number:
            if number < self.number:
                counters.add('older_configurations', text.source.value)
            return False
        logger.info('adopt configuration {}', number)
        self.text = text
        self._roots[number] = text.root
        if len(self._roots) > _KEPT_ROOTS:
            self._roots.popitem(last=False)
        self.hints.reach(number)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def root_of(self, number: int) -> bytes | None:
        """Return the root of a number adopted lately."""
        return self._roots.get(number)

    @property
    def previous_number(self) -> int:
        """Return the number adopted before the present one, or 0."""
        return max((one for one in self._roots if one < self.number), default=0)

    async def wait_text(self, number: int) -> Text:
        """Wait for a text with a number above the given one."""
        while self.text is None or self.number <= number:
            await self._changed.wait()
        return self.text

"""Connect the spread of configuration to the stored form of the text."""

import threading
from collections.abc import Mapping

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp import operators
from dragonflyramp.members import RootFacts, TextCodec
from dragonflyramp.models import Configuration
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class StoredTextCodec(TextCodec):
    """Implement TextCodec with the roots and parts of operators.

    Parsed parts are kept between calls, so that a change of one part does
    not parse the whole text again. The lock keeps calls from several
    threads apart.
    """

    _cache: operators.PartCache = attrs.field(factory=operators.PartCache)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def decode_root(self, root: bytes) -> Result[RootFacts, ResultCode]:
        """Read the number and the SHA-256 of each part, in order."""
        return operators.decode_root(root).map(_facts)

    def assemble(
        self, root: bytes, parts: Mapping[str, bytes]
    ) -> Result[Configuration, ResultCode]:
        """Build the configuration; fail with the code of a problem."""
        decoded = operators.decode_root(root)
        with self._lock:
            return decoded.bind(lambda found: self._assemble(found, parts))

    def make_delta(self, base: bytes, root: bytes) -> bytes:
        """Encode what makes one root out of another."""
        delta = operators.root_delta(
            operators.decode_root(base).unwrap(),
            operators.decode_root(root).unwrap(),
        )
        return operators.encode_delta(delta)

    def apply_delta(
        self, base: bytes, delta: bytes
    ) -> Result[bytes, ResultCode]:
        """Make the root again; fail with bad_message."""
        root = operators.decode_root(base)
        change = operators.decode_delta(delta)
        if isinstance(root, Failure) or isinstance(change, Failure):
            return Failure(ResultCode.bad_message)
        applied = operators.apply_delta(root.unwrap(), change.unwrap())
        return applied.map(operators.encode_root)

    def _assemble(
        self, root: operators.Root, parts: Mapping[str, bytes]
    ) -> Result[Configuration, ResultCode]:
        for sha256 in self._cache.missing(root):
            if not self._cache.add(sha256, parts[sha256]):
                return Failure(ResultCode.bad_message)
        assembled = self._cache.assemble(root)
        if isinstance(assembled, Success):
            return Success(assembled.unwrap())
        problems = assembled.failure()
        return Failure(problems[0].code)


def _facts(root: operators.Root) -> RootFacts:
    return RootFacts(root.number, tuple(ref.sha256 for ref in root.parts))

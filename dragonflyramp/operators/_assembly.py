"""Assemble configurations from roots and parts, parsing each part once."""

from collections.abc import Mapping

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration
from dragonflyramp.operators._fragments import Fragment, parse_fragment
from dragonflyramp.operators._parts import digest
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._roots import Root
from dragonflyramp.operators._text import merge_fragments
from dragonflyramp.results import ResultCode


@attrs.frozen
class _KeptPart:
    body: bytes
    outcome: Result[Fragment, tuple[Problem, ...]]


class PartCache:
    """Keep the parts of the latest root, parsed."""

    def __init__(self) -> None:
        """Start without any part."""
        self._kept: dict[str, _KeptPart] = {}

    def missing(self, root: Root) -> tuple[str, ...]:
        """List the digests of the root's parts that are not kept."""
        return tuple(
            ref.sha256 for ref in root.parts if ref.sha256 not in self._kept
        )

    def bodies(self, digests: tuple[str, ...]) -> Mapping[str, bytes]:
        """Return the content of those parts that are kept."""
        return {
            sha256: self._kept[sha256].body
            for sha256 in digests
            if sha256 in self._kept
        }

    def add(self, sha256: str, body: bytes) -> bool:
        """Keep and parse a part; False when the digest does not match."""
        if sha256 in self._kept:
            return True
        if digest(body) != sha256:
            return False
        self._kept[sha256] = _KeptPart(body, parse_fragment(body))
        return True

    def assemble(
        self, root: Root
    ) -> Result[Configuration, tuple[Problem, ...]]:
        """Build the configuration of a root and drop other roots' parts.

        Fail with object_missing when parts are missing, and with the
        problems of a text that should not have been accepted.
        """
        absent = self.missing(root)
        if absent:
            return Failure(tuple(map(_missing_part, absent)))
        wanted = {ref.sha256: self._kept[ref.sha256] for ref in root.parts}
        problems: list[Problem] = []
        fragments: list[Fragment] = []
        for ref in root.parts:
            outcome = wanted[ref.sha256].outcome
            problems.extend(outcome.swap().value_or(()))
            outcome.map(fragments.append)
        if problems:
            return Failure(tuple(problems))
        merged = merge_fragments(fragments, root.number)
        if isinstance(merged, Success):
            self._kept = wanted
        return merged


def _missing_part(sha256: str) -> Problem:
    return Problem(
        code=ResultCode.object_missing, sentence=f'part {sha256} is missing'
    )

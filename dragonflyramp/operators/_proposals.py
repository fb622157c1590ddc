"""Decide whether a parsed text may replace the stored one."""

import difflib
import itertools
from collections.abc import Iterator

import attrs

from dragonflyramp.models import Configuration
from dragonflyramp.operators._hold_checks import (
    protected_hold_problems,
    removed_or_changed_holds,
)
from dragonflyramp.operators._parts import (
    PartRef,
    part_ref_of,
    sha256_hex,
    split_text,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._roots import (
    Root,
    is_of_earlier_era,
    next_number,
    sorted_holds,
)
from dragonflyramp.operators._text_stores import StoredRoot
from dragonflyramp.results import ResultCode

_MAX_DIFF_LINES = 200


@attrs.frozen(kw_only=True)
class Proposal:
    """Text to push, without a base line, and the fields of its history entry.

    `base` is the number of the stored text that was edited, or None if the
    operator gave none.
    """

    text: bytes
    base: int | None
    write_id: str
    author: str
    at: str
    note: str = ''
    released_holds: frozenset[str] = frozenset()


@attrs.frozen
class ParsedProposal:
    """Proposal, its parsed configuration, and the root that it replaces."""

    proposal: Proposal
    configuration: Configuration
    stored_root: StoredRoot
    #: Era of the store in which its root was read.
    era: int = 0

    @property
    def is_stored(self) -> bool:
        """Return whether the text is stored, with all its parts.

        Parts of a root of an earlier era may be missing.
        """
        root = self.stored_root.root
        if root is None or is_of_earlier_era(root, self.era):
            return False
        return root.parts == self.part_refs

    @property
    def part_refs(self) -> tuple[PartRef, ...]:
        """Return references to the parts of the proposed text."""
        return tuple(map(part_ref_of, split_text(self.proposal.text)))

    def new_parts(self) -> dict[str, bytes]:
        """Return the parts that may not be stored, by SHA-256."""
        stored = self.stored_root.root
        has_parts = stored and not is_of_earlier_era(stored, self.era)
        stored_digests = (
            {ref.sha256 for ref in stored.parts}
            if stored and has_parts
            else set()
        )
        parts = {
            sha256_hex(part): part for part in split_text(self.proposal.text)
        }
        return {
            sha256: part
            for sha256, part in parts.items()
            if sha256 not in stored_digests
        }

    def next_root(self) -> Root:
        """Return the root that makes the proposal the stored text."""
        proposal = self.proposal
        number = next_number(self.stored_root.number, self.era)
        stored = self.stored_root.root
        return Root(
            number=number,
            write_id=proposal.write_id,
            author=proposal.author,
            at=proposal.at,
            note=proposal.note,
            parts=self.part_refs,
            holds=sorted_holds(self.configuration.holds.values()),
            history=stored.history_before(number) if stored else (),
        )

    def problems(self) -> tuple[Problem, ...]:
        """Return the problems that can be found without listing replicas."""
        stored_holds = (
            self.stored_root.root.holds if self.stored_root.root else ()
        )
        removed_or_changed = removed_or_changed_holds(
            stored_holds, self.configuration.holds
        )
        released_holds = self.proposal.released_holds
        return (
            *self._base_problems(),
            *protected_hold_problems(removed_or_changed, released_holds),
            *_release_problems(
                released_holds - {hold.name for hold in stored_holds}
            ),
        )

    def _base_problems(self) -> Iterator[Problem]:
        base = self.proposal.base
        root = self.stored_root.root
        if root is None and not base:
            return
        if root is None:
            yield _stale_base_problem(
                f'the text was edited from number {base}, but no text is '
                'stored; to push it as the first text, omit the base line '
                'and --base'
            )
        elif base is None:
            yield _stale_base_problem(
                'the text does not say which text it was edited from; '
                'push the edited output of `show`, or set --base'
            )
        elif base != root.number:
            yield _stale_base_problem(
                f'the text was edited from number {base}, but number '
                f'{root.number} is stored; edit the output of `show` and push '
                f'again (last push by {root.author} at {root.at}: {root.note})',
            )


def text_diff(stored: bytes, proposed: bytes) -> str:
    """Return the first `_MAX_DIFF_LINES` lines of a unified diff."""
    lines = difflib.unified_diff(
        stored.decode(errors='replace').splitlines(),
        proposed.decode(errors='replace').splitlines(),
        'stored',
        'proposed',
        lineterm='',
    )
    return '\n'.join(itertools.islice(lines, _MAX_DIFF_LINES))


def _stale_base_problem(sentence: str) -> Problem:
    return Problem(code=ResultCode.stale_base, sentence=sentence)


def _release_problems(names: frozenset[str]) -> Iterator[Problem]:
    for name in sorted(names):
        yield Problem(
            code=ResultCode.unknown_name,
            key=f'--release {name}',
            sentence='the stored text has no hold with this name',
        )

"""Define the outcomes of a push: accepted, refused or unknown."""

from collections.abc import Mapping
from typing import TypeAlias

import attrs

from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._roots import Root
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class Accepted:
    """Outcome of a push whose text is stored; `root` is its root object.

    `parts` are those that the push wrote, by SHA-256. `is_changed` is false if
    nothing had to be written.
    """

    root: Root
    parts: Mapping[str, bytes] = attrs.field(factory=dict)
    is_changed: bool = True


@attrs.frozen(kw_only=True)
class Refused:
    """Outcome of a push that `problems` kept from changing the stored text.

    `diff` compares the stored and the pushed text after a conflict.
    """

    problems: tuple[Problem, ...]
    diff: str = ''

    def has_code(self, code: ResultCode) -> bool:
        """Return whether one of the problems has the code."""
        return any(problem.code is code for problem in self.problems)


@attrs.frozen(kw_only=True)
class Unknown:
    """Outcome of a push whose text may or may not be stored."""

    problem: Problem


PushOutcome: TypeAlias = Accepted | Refused | Unknown


def refuse(code: ResultCode, sentence: str, key: str = '') -> Refused:
    """Return a refusal with one problem."""
    problem = Problem(code=code, sentence=sentence, key=key)
    return Refused(problems=(problem,))

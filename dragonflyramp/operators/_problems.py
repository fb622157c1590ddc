"""Define the problems that commands report to operators."""

import re

import attrs

from dragonflyramp.results import ResultCode

_LAST_KEY_PATTERN = re.compile(r'(?:\.|^)[^.\[]*$|\[\d+\]$')


@attrs.frozen(kw_only=True)
class Problem:
    """Problem with its result code; `line` is 0 if it has none.

    `key` is what the sentence is about, such as a key of the text, and is
    printed before it.
    """

    code: ResultCode
    sentence: str
    key: str = ''
    line: int = 0

    def __str__(self) -> str:
        """Format as one line."""
        pieces = [f'line {self.line}'] if self.line else []
        if self.key:
            pieces.append(self.key)
        code = self.code
        pieces.append(f'{code.value} {code.name}')
        return ': '.join([*pieces, self.sentence])


def parent_key(key: str) -> str:
    """Drop the last name or index of a key.

    >>> parent_key('services.a.replicas[0].id')
    'services.a.replicas[0]'
    >>> parent_key('services.a.replicas[0]')
    'services.a.replicas'
    >>> parent_key('services')
    ''
    """
    return _LAST_KEY_PATTERN.sub('', key, count=1)

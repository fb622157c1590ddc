"""Define the platform's header names and parse header values."""

import functools
from collections.abc import Iterable, Iterator

from dragonflyramp.messages import Headers, Load

REQUEST_ID = 'Request-Id'
#: Milliseconds until the sender of the request stops waiting.
DEADLINE_MS = 'Deadline-Ms'
#: Id of the target replica; a replica with another id does not run the
#: request.
EXPECT_INSTANCE = 'Expect-Instance'
#: The replica's signature of one reply.
STAMP = 'Server-Stamp'
#: Present when the replica did not run the request.
NOT_EXECUTED = 'Not-Executed'
#: Running requests, waiting requests and slots, separated by commas.
LOAD = 'Server-Load'
#: Signatures of the replies that are merged into an answer.
PART_STAMPS = 'Part-Stamps'
#: Number of shards that are missing from an answer.
MISSING_PARTS = 'Missing-Parts'
RETRY_AFTER = 'Retry-After'
#: API key of the caller, after the scheme.
AUTHORIZATION = 'Authorization'
#: Name of the tenant that holds the API key.
TENANT = 'Tenant'
#: `1` in all replies of a replica that leaves.
LEAVING = 'Server-Leaving'

#: Hop-by-hop headers, and headers that each sender sets itself.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
        DEADLINE_MS.lower(),
        EXPECT_INSTANCE.lower(),
    )
)
#: Headers that are forwarded even if Connection names them: without them, a
#: request has no route or id, and a reply no signature or a coding that nobody
#: knows.
_ALWAYS_FORWARDED = frozenset(
    ('host', REQUEST_ID.lower(), STAMP.lower(), 'content-encoding')
)


def end_to_end_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Yield the headers to forward, without the hop-by-hop headers."""
    dropped = _HOP_BY_HOP | (connection_options(headers) - _ALWAYS_FORWARDED)
    for name, text in headers:
        if name.lower() not in dropped:
            yield name, text


def parse_api_key(headers: Headers) -> str:
    """Return the API key of a caller; empty without one.

    A caller that sends different ones has none. Only spaces and tabs are
    removed: other white space is part of an unknown key.

    >>> parse_api_key((('authorization', 'bearer k1'),))
    'k1'
    """
    texts = set(_header_values(headers, AUTHORIZATION.lower()))
    if len(texts) != 1:
        return ''
    scheme, _, api_key = texts.pop().strip(_BLANKS).partition(' ')
    return api_key.strip(_BLANKS) if scheme.lower() == _API_KEY_SCHEME else ''


def without_tenant_headers(headers: Headers) -> Iterator[tuple[str, str]]:
    """Yield the headers that hold neither an API key nor a tenant's name."""
    for name, text in headers:
        if name.lower() not in _TENANT_HEADERS:
            yield name, text


def connection_options(headers: Headers) -> frozenset[str]:
    """Return the options of the Connection header in lower case."""
    return frozenset(
        token.strip().lower()
        for text in _header_values(headers, 'connection')
        for token in text.split(',')
    )


def decode_utf8(text: str) -> str:
    """Decode a value that was read as Latin-1, as aiohttp sends UTF-8.

    Raise UnicodeError if UTF-8 cannot represent the received bytes.
    """
    return text if text.isascii() else text.encode('latin-1').decode()


def encode_utf8(text: str) -> str:
    """Encode a value so that its Latin-1 form is UTF-8, as `decode_utf8`."""
    return text if text.isascii() else text.encode().decode('latin-1')


def accepts_content_coding(headers: Headers) -> bool:
    """Return whether Accept-Encoding names a content coding.

    Callers without the header ask for none.

    >>> accepts_content_coding((('Accept-Encoding', 'identity, br;q=0'),))
    False
    >>> accepts_content_coding((('Accept-Encoding', 'gzip;q=0.5'),))
    True
    """
    return any(
        _is_accepted_coding(element)
        for text in _header_values(headers, 'accept-encoding')
        for element in text.split(',')
    )


def first_value(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string."""
    return next(iter(_header_values(headers, name.lower())), '')


def parse_number(text: str | None) -> float | None:
    """Parse a number of at least 0 and below 1e12; return None otherwise."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if 0 <= number < _NUMBER_LIMIT else None


def parse_load(text: str | None) -> Load | None:
    """Parse the load `running,waiting,slots`; return None if malformed.

    A fourth figure is the work time in per cent of the usual. A replica has at
    least one slot, even if it reports 0.

    >>> parse_load('3,0,8')
    Load(running=3, waiting=0, slots=8, work_time_ratio=None)
    >>> parse_load('3,0,8,250').work_time_ratio
    2.5
    """
    if text is None or len(text) > _MAX_LOAD_CHARS:
        return None
    return _parse_load(text)


@functools.lru_cache(maxsize=1024)
def _parse_load(text: str) -> Load | None:
    numbers = text.split(',')
    if len(numbers) not in _LOAD_LENGTHS or not all(map(_is_count, numbers)):
        return None
    running, waiting, slots, *work_percents = map(int, numbers)
    work_time_ratio = None
    if work_percents:
        work_time_ratio = min(
            max(work_percents[0] / 100, _MIN_WORK_TIME_RATIO),
            _MAX_WORK_TIME_RATIO,
        )
    return Load(running, waiting, max(1, slots), work_time_ratio)


def parse_keep_alive_seconds(text: str | None) -> float | None:
    """Parse the timeout in a Keep-Alive header; return None if it has none.

    >>> parse_keep_alive_seconds('timeout=5, max=100')
    5.0
    """
    for part in (text or '').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout':
            return parse_number(number)
    return None


def _is_accepted_coding(element: str) -> bool:
    compact_element = element.replace(' ', '').lower()
    coding, _, weight = compact_element.partition(';q=')
    if coding in _NO_CODINGS:
        return False
    return not weight or parse_number(weight) != 0


def _is_count(text: str) -> bool:
    number = text.strip()
    return number.isdecimal() and len(number) <= _MAX_COUNT_DIGITS


def _header_values(headers: Headers, lowercase_name: str) -> Iterable[str]:
    return (text for name, text in headers if name.lower() == lowercase_name)


_API_KEY_SCHEME = 'bearer'
_BLANKS = ' \t'
_TENANT_HEADERS = frozenset((AUTHORIZATION.lower(), TENANT.lower()))
_NO_CODINGS = frozenset(('', 'identity'))
_NUMBER_LIMIT = 1e12
#: Four figures with blanks around them.
_MAX_LOAD_CHARS = 64
#: Figures in a load, without and with the work time.
_LOAD_LENGTHS = (3, 4)
#: A work time beyond these limits is a mistake of the replica.
_MIN_WORK_TIME_RATIO = 0.25
_MAX_WORK_TIME_RATIO = 16
_MAX_COUNT_DIGITS = 9

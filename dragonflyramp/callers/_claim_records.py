"""Keep the claims of one bucket object as text, one claim a line.

Lines are split without parsing them, since a full bucket holds thousands
of claims and a commit touches a few.
"""

import base64
import enum
import hashlib

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.results import ResultCode

BUCKETS = 64

_HEADER = b'dragonflyramp claims 1'
_NEWLINE = b'\n'
_SPACE = b' '
_SEPARATORS = 6
_NO_BODY = '-'
_DIGEST_LENGTH = 32


class ClaimState(enum.Enum):
    """Name what is known of a claim."""

    claimed = 'claimed'
    free = 'free'
    done = 'done'


@attrs.frozen
class ClaimKey:
    """Identify a claim by digests of the key and of the request's body."""

    digest: str
    body_digest: str

    @property
    def bucket(self) -> int:
        """Return the number of the bucket object."""
        return int.from_bytes(bytes.fromhex(self.digest[:8])) % BUCKETS


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """Hold one claim; `body` is None when no outcome was kept."""

    key: ClaimKey
    state: ClaimState
    token: str
    claimed_unix_seconds: int
    code: ResultCode = ResultCode.ok
    body: bytes | None = None


def claim_key(service: str, idempotency_key: str, body: bytes) -> ClaimKey:
    """Digest a key; keys of different services are different keys."""
    named = f'{service}\0{idempotency_key}'.encode()
    return ClaimKey(_digest(named), _digest(body))


@attrs.define(eq=False)
class Bucket:
    """Hold the lines of a bucket by the digest of the key."""

    lines: dict[str, bytes] = attrs.field(factory=dict)
    size_bytes: int = len(_HEADER)

    def find(self, digest: str) -> ClaimRecord | None:
        """Return the claim of a key; raise ValueError if malformed."""
        line = self.lines.get(digest)
        return None if line is None else _decode(line)

    def put(self, record: ClaimRecord) -> None:
        """Add or replace the claim of a key."""
        self.discard(record.key.digest)
        line = encode_record(record)
        self.lines[record.key.digest] = line
        self.size_bytes += len(line) + 1

    def discard(self, digest: str) -> None:
        """Remove the claim of a key."""
        line = self.lines.pop(digest, None)
        if line is not None:
            self.size_bytes -= len(line) + 1

    def prune(
        self, now_unix_seconds: float, keep_seconds: float, free_seconds: float
    ) -> None:
        """Remove claims past their retention; free ones end sooner."""
        free_state = ClaimState.free.value.encode()
        for digest, line in tuple(self.lines.items()):
            _, seconds, state, _ = line.split(_SPACE, 3)
            is_free = state == free_state
            keep = free_seconds if is_free else keep_seconds
            if int(seconds) + keep < now_unix_seconds:
                self.discard(digest)

    def encode(self) -> bytes:
        """Write the bucket as the body of its object."""
        return _NEWLINE.join((_HEADER, *self.lines.values()))


def decode_bucket(body: bytes) -> Result[Bucket, ResultCode]:
    """Read the body of a bucket object; fail with bad_message."""
    header, *lines = body.split(_NEWLINE)
    is_whole = all(line.count(_SPACE) == _SEPARATORS for line in lines)
    if header != _HEADER or not is_whole:
        return Failure(ResultCode.bad_message)
    by_digest = {line[:_DIGEST_LENGTH].decode(): line for line in lines}
    return Success(Bucket(by_digest, len(body)))


def encode_record(record: ClaimRecord) -> bytes:
    """Write one claim as a line."""
    kept = _NO_BODY
    if record.body is not None:
        # The mark keeps an empty body apart from none.
        encoded = base64.b64encode(record.body).decode()
        kept = f'+{encoded}'
    fields = (
        record.key.digest,
        str(record.claimed_unix_seconds),
        record.state.value,
        record.token,
        record.key.body_digest,
        str(record.code.value),
        kept,
    )
    return ' '.join(fields).encode()


def _decode(line: bytes) -> ClaimRecord:
    fields = line.decode().split()
    kept = fields.pop()
    return ClaimRecord(
        key=ClaimKey(digest=fields[0], body_digest=fields[4]),
        claimed_unix_seconds=int(fields[1]),
        state=ClaimState(fields[2]),
        token=fields[3],
        code=_code(fields[5]),
        body=None if kept == _NO_BODY else base64.b64decode(kept[1:]),
    )


def _code(digits: str) -> ResultCode:
    try:
        return ResultCode(int(digits))
    except ValueError:
        # A later version may know more codes.
        return ResultCode.outcome_unknown


def _digest(named: bytes) -> str:
    return hashlib.sha256(named).hexdigest()[:_DIGEST_LENGTH]

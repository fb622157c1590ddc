"""Bound what is decoded from other writers."""

#: Exceptions that the fields of a malformed object raise while it is decoded.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
#: Limit on the values in one JSON text. Each takes about 100 bytes of memory
#: once it is parsed, which may be many times its text.
MAX_VALUES = 400_000


def has_few_values(
    body: bytes | bytearray, max_values: int = MAX_VALUES
) -> bool:
    """Return whether a JSON text can be parsed without much memory."""
    # Each value begins at a bracket or follows a comma.
    return sum(map(body.count, (b',', b'[', b'{'))) <= max_values

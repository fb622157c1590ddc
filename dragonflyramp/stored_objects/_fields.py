"""Define the type of decoded JSON objects."""

from typing import Any, TypeAlias

#: Decoded JSON object.
Fields: TypeAlias = dict[str, Any]

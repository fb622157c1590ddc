"""Decode strict JSON."""

import json


def _refuse_constant(name: str) -> float:
    raise ValueError(f'{name} is not JSON')


#: NaN and the infinities, which Python reads by default, are not JSON.
_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def decode_json(body: bytes) -> object:
    """Decode a JSON text in UTF-8; raise ValueError if it is malformed."""
    try:
        return _DECODER.decode(body.decode())
    except RecursionError as error:
        raise ValueError('the JSON text is nested too deeply') from error

"""Order names by rendezvous hashing; the order differs from key to key."""

import hashlib


def rendezvous_hash(key: str, name: str) -> bytes:
    """Return the hash by which a name is sorted for a key.

    All daemons sort the same names in the same order. Keys that share their
    first 64 bytes have the same order.
    """
    hasher = hashlib.blake2b(
        name.encode(),
        digest_size=8,
        key=key.encode()[: hashlib.blake2b.MAX_KEY_SIZE],
    )
    return hasher.digest()

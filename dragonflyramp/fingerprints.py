"""Identify requests that callers repeat under new ids."""

import xxhash

from dragonflyramp.messages import Request


def compute_fingerprint(request: Request, tenant_name: str = '') -> str:
    """Return a digest of tenant, method, host, path with query and body.

    A caller that repeats a request sends these again. 128 bits keep different
    requests apart. Without a tenant, the digest is that of earlier versions, so
    that stored records are found.
    """
    host = next(
        (text for name, text in request.headers if name.lower() == 'host'), ''
    )
    hasher = xxhash.xxh3_128()
    if tenant_name:
        # No method begins with this byte, so that no request without a tenant
        # is hashed the same, whatever its body.
        hasher.update(b'\0')
        hasher.update(tenant_name.encode())
        hasher.update(b'\0')
    for field in (request.method, host.lower(), request.path_and_query):
        hasher.update(field.encode('latin-1', 'replace'))
        hasher.update(b'\0')
    hasher.update(request.body)
    return hasher.hexdigest()

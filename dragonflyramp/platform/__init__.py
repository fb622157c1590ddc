"""Translate between the internal types and the platform's protocols.

_settings_file  settings file of the machine
_api_http       HTTP client of the platform's API, with timeouts
_store_http     client of the metadata store
_store_replies  reading of the replies of the store, in bounded memory
_reply_elements splitting of a reply into the objects that it lists
_collectors     collection of the objects of listings and watches
_kept_fields    fields that are kept of the objects of each kind
_store_decoders decoding of configuration, replica entries and evacuations
_tenant_fields  decoding of the tenants of the configuration
_rollout_orders decoding of rollout orders, and writes of their status
_object_stores  the operators' text in the store, and lists of replicas
_headers        header names and the parsing of header values
_answers_http   encoding of answers; what makes a success
_front_http     HTTP server for callers and readiness checks
_body_memory    limit on the memory of the bodies of callers' requests
_backend_http   encoding of requests to replicas, decoding of replies
"""

from dragonflyramp.platform._backend_http import ReplicaCodec
from dragonflyramp.platform._front_http import FrontServer
from dragonflyramp.platform._headers import REQUEST_ID, parse_api_key
from dragonflyramp.platform._object_stores import (
    TEXTS_KIND,
    PlatformObjectStore,
    create_body_reader,
)
from dragonflyramp.platform._rollout_orders import (
    ROLLOUT_CONTRACT,
    ROLLOUTS_KIND,
    PlatformOrderStore,
    decode_rollout_order,
)
from dragonflyramp.platform._settings_file import (
    SETTINGS_PATH_VARIABLE,
    decode_settings,
    read_settings,
)
from dragonflyramp.platform._store_decoders import StoreDecoder
from dragonflyramp.platform._store_http import StoreClient, open_store

__all__ = (
    'REQUEST_ID',
    'ROLLOUTS_KIND',
    'ROLLOUT_CONTRACT',
    'SETTINGS_PATH_VARIABLE',
    'TEXTS_KIND',
    'FrontServer',
    'PlatformObjectStore',
    'PlatformOrderStore',
    'ReplicaCodec',
    'StoreClient',
    'StoreDecoder',
    'create_body_reader',
    'decode_rollout_order',
    'decode_settings',
    'open_store',
    'parse_api_key',
    'read_settings',
)

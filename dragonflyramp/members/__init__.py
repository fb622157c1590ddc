"""Communicate with other daemons: membership, hubs and view updates.

A few daemons, the hubs, watch the store. Every daemon requests changes from
the hubs.

_memberships    daemons that are registered or in recent contact
_clusters       selection of the hubs, and ranks of this daemon
_registrars     entries of the daemons in the store
_suspect_records  records of requests that end replicas, and claims of trials
_suspect_objects  the objects of these records in the store
_rollout_fields encoding of the counts of rollouts in messages
_suspect_restores  records that a restored store has forgotten
_suspicion_fields checks of the fields of records and messages
_watchers       updates of the views from the store
_sync_messages  messages between daemons and their encoding
_synchronizers  exchange of view updates with other daemons
_hub_links      selection of the daemons from which to request changes
_quota_messages encoding of the messages on quotas
_grants_grpc    asks of quota servers, and answers to them
_view_updates   updates of views in messages, and their encoding
_links_grpc     gRPC server, and one client task for each link to a daemon
"""

from dragonflyramp.members._clusters import Cluster, quota_hubs
from dragonflyramp.members._hub_links import HubLinks
from dragonflyramp.members._links_grpc import SyncServer
from dragonflyramp.members._memberships import (
    DAEMONS_KIND,
    Daemon,
    Membership,
)
from dragonflyramp.members._registrars import Registrar
from dragonflyramp.members._suspect_objects import (
    SUSPECTS_KIND,
    SuspectObjects,
    decode_record,
)
from dragonflyramp.members._suspect_records import (
    StoredSuspectRecords,
    maintain_suspects,
)
from dragonflyramp.members._suspect_restores import SuspectRestorer
from dragonflyramp.members._synchronizers import (
    ViewSynchronizer,
    is_informed,
    news_age_seconds,
)
from dragonflyramp.members._watchers import Watcher, WatchTiming

__all__ = (
    'DAEMONS_KIND',
    'SUSPECTS_KIND',
    'Cluster',
    'Daemon',
    'HubLinks',
    'Membership',
    'Registrar',
    'StoredSuspectRecords',
    'SuspectObjects',
    'SuspectRestorer',
    'SyncServer',
    'ViewSynchronizer',
    'Watcher',
    'WatchTiming',
    'decode_record',
    'is_informed',
    'maintain_suspects',
    'news_age_seconds',
    'quota_hubs',
)

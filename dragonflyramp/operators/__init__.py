"""Implement the operators' text and the operators' commands.

The operators' text is the TOML document that configures services, failure
domains and holds. The platform stores it as parts and a root object that
lists them, so a push writes only the root and the parts that changed.

Each accepted push gives the text the next number, from 1. `show` prints the
text after a base line, `# base = NUMBER`; `push` refuses a text whose base is
not the stored number. A push that removes or changes a hold must release it by
name. A shard is dark if holds take all its replicas out of service.

_commands              commands, apart from arguments and output
_text_parsing          parsing of the text into a configuration
_parsed_parts          parsing of one part of the text
_tables                conversion of tables to attrs classes
_validators            validation of single values
_statements            line numbers and offsets of statements
_configuration_checks  checks across several keys or tables
_hold_checks           checks of holds against replicas and stored holds
_problems              problems that commands report
_parts                 division of the text into parts
_roots                 root object, which lists the parts
_text_stores           reading and writing of the root and the parts
_pushers               push of a text
_proposals             conditions for replacing the stored text
_commits               conditional update of the root
_outcomes              outcomes of a push
_retries               retries of calls to the platform
_hold_changes          addition and removal of holds
_hold_tables           tables of holds in the text
_replicas              replicas that holds are checked against
_configuration_readers configuration from a daemon's copy of the text
_routing               routing table of a configuration
_daemon_metrics_http   metrics of daemons
_suspects              records of requests that end replicas
_explanations          explanation of a request from logs
"""

from dragonflyramp.operators._commands import (
    PushRequest,
    check,
    find_result_code,
    history,
    push,
    show,
)
from dragonflyramp.operators._configuration_readers import ConfigurationReader
from dragonflyramp.operators._daemon_metrics_http import (
    DaemonMetrics,
    read_metrics,
)
from dragonflyramp.operators._explanations import (
    LogLine,
    explain_request,
    parse_log,
)
from dragonflyramp.operators._hold_changes import (
    HoldRequest,
    Operator,
    add_hold,
    remove_hold,
)
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    Unknown,
)
from dragonflyramp.operators._parts import (
    PartRef,
    join_parts,
    sha256_hex,
    split_text,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._pushers import Pusher
from dragonflyramp.operators._retries import RetryPolicy
from dragonflyramp.operators._roots import (
    ROOT_NAME,
    HistoryEntry,
    Root,
    decode_root,
    encode_root,
)
from dragonflyramp.operators._routing import build_routing_table, held_domains
from dragonflyramp.operators._suspects import list_suspects, release_suspect
from dragonflyramp.operators._text_parsing import parse_text
from dragonflyramp.operators._text_stores import (
    TextStore,
    part_object_name,
)
from dragonflyramp.operators._validators import is_ip_and_port

__all__ = (
    'ROOT_NAME',
    'Accepted',
    'ConfigurationReader',
    'DaemonMetrics',
    'HistoryEntry',
    'HoldRequest',
    'LogLine',
    'Operator',
    'PartRef',
    'Problem',
    'PushOutcome',
    'PushRequest',
    'Pusher',
    'Refused',
    'RetryPolicy',
    'Root',
    'TextStore',
    'Unknown',
    'add_hold',
    'build_routing_table',
    'check',
    'decode_root',
    'encode_root',
    'explain_request',
    'find_result_code',
    'held_domains',
    'history',
    'is_ip_and_port',
    'join_parts',
    'list_suspects',
    'parse_log',
    'parse_text',
    'part_object_name',
    'push',
    'read_metrics',
    'release_suspect',
    'remove_hold',
    'sha256_hex',
    'show',
    'split_text',
)

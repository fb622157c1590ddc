"""Talk to backend servers."""

from dragonflyramp.backends._clients import (
    BackendClient,
    ClientFactory,
    Reply,
    SearchCall,
    Status,
    StatusFailure,
    SubmitCall,
)
from dragonflyramp.backends._descriptions import ReplicaDescription
from dragonflyramp.backends._http import http_client_factory
from dragonflyramp.backends._policies import PolicySet
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.backends._tier import BackendTier
from dragonflyramp.backends._traced_ramp import TracedRamp

__all__ = (
    'BackendClient',
    'BackendSettings',
    'BackendTier',
    'ClientFactory',
    'PolicySet',
    'ReplicaDescription',
    'Reply',
    'SearchCall',
    'Status',
    'StatusFailure',
    'SubmitCall',
    'TracedRamp',
    'http_client_factory',
)

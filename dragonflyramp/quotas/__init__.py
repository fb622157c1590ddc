"""Limit the requests of each tenant over all fronts together.

_policies  interface of the limit, and a policy without any
"""

from dragonflyramp.quotas._policies import QuotaPolicy, UnlimitedQuotas

__all__ = ('QuotaPolicy', 'UnlimitedQuotas')

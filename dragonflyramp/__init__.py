"""Send callers' requests to replicas of services and gather the replies.

Terms that several packages use:

platform       system that runs the VMs, checks whether fronts are ready,
               and stores the configuration and the entries of replicas
front          daemon that answers callers on one VM
hub            daemon that watches the store and updates the other daemons
revision       number of a change in the store, over objects of all kinds
view           local copy of the store's objects of one kind
replica        backend server of one service
shard          one of the services over which a search is spread
part           reply of one shard to a search, or the reply to any other
               request
extra request  retry or hedge
cold           said of a replica that is still warming up
hold           operator's decision to take a failure domain or a replica out
               of service
"""

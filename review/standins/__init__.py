"""Stand-ins for the platform's store, replicas and callers."""

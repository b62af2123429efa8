"""State and tasks of a proxy process: pools, groups, peers and failover."""

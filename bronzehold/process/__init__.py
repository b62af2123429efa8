"""What lives as long as the process: pools, watchers, peers, the daemon."""

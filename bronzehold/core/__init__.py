"""Records, failures, events and settings that all packages share."""

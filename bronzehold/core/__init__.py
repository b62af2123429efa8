"""Records, failures and settings that every other package speaks in."""

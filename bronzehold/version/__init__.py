"""What lives for one version: a configuration revision or a term."""

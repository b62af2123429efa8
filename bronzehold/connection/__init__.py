"""Connections of callers and to endpoints, and the wire protocol they use."""

"""A database proxy with session consistency for groups of endpoints."""

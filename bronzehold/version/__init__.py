"""Configuration revisions, terms, grants and changes of primary."""

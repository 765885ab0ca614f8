"""The configuration tree of the federation and how records are merged into it."""

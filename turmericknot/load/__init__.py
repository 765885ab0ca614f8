"""Load generator and reports."""

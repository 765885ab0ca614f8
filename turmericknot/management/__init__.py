"""The command line ``turmericknot``."""

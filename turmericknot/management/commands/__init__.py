"""Modules that register the commands of ``turmericknot``."""

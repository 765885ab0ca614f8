"""Helpers for logging, metrics and histograms."""

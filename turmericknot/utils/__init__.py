"""Logging, metrics, histograms and retry delays."""

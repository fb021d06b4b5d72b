"""Shared by all programs: results, clock, identifiers, events and metrics."""

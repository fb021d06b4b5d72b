"""Randomized soak test: gateway processes under faults injected from outside."""

"""The entry program: what callers connect to."""

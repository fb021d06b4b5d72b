"""The bench: load, and policies side by side."""

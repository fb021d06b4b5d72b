"""The bench: load, policies side by side, and the slopes behind the capacity page."""

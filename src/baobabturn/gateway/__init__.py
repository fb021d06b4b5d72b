"""The gateway program: relays callers' requests to endpoints by declared routes."""

"""Clients of endpoints: the engine protocol and its OpenAI-compatible adapter."""

"""Translates between the gateway and the platform that it runs on.

This package alone knows the platform's names on the wire.
"""

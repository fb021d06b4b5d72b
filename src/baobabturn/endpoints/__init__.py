"""Endpoints: model engines and plain services, behind ``Protocol`` types."""

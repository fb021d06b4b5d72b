"""The scheduler program: admission to pools and the state of their endpoints."""

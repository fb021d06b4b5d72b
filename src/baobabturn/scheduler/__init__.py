"""The scheduler program: admits requests to pools and tracks their endpoints."""

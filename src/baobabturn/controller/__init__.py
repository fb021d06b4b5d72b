"""The controller program: platform, membership, configuration, orders."""

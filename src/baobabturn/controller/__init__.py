"""The controller program: platform access, membership, configuration, engine orders."""

"""A randomized soak: the real gateways as processes, under faults from outside."""

"""SWIM membership of the hosts, and the pool ownership derived from it."""

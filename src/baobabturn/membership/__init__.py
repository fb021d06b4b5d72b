"""Which hosts are alive: heartbeats, suspicion, leaving, and what follows."""

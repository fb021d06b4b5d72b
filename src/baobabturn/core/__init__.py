"""What every program shares: results, clock, identifiers, events and metrics."""

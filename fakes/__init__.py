"""Stand-ins for the external systems, which count independently what they ran."""

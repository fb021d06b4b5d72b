"""Small stand-ins for the outside systems, with counts of their own."""

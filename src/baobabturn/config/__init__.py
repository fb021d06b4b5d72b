"""The declared configuration: its document, checks, parts and lookups."""

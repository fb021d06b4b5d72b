"""The platform object store: interface, HTTP client, claims and leases."""

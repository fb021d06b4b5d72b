"""The inner protocol: messages between the system's own processes."""

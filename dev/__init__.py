"""Development scripts: the launcher of whole deployments and the demo."""

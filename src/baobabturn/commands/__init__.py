"""The operators' command, one module for each subcommand."""

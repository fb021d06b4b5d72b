"""Settings of the programs: their model, packaged defaults and loading."""

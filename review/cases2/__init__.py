"""Stand-ins and processes that the scripts of cases 6 to 10 share."""

"""Stand-ins and small tools that the cases 6 to 10 share."""

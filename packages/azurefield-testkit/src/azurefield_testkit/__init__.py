"""Stand-ins, demo and measuring tools; not shipped."""

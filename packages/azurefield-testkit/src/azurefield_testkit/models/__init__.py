"""Small models of the core protocols; they run the shipped state machines."""

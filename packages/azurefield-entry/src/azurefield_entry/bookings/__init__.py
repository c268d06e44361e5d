"""Issues tickets and runs bookings, here or on the instance that issued the ticket."""

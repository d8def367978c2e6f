"""What is kept and shown of a day: recordings, cost profiles, pages and plots."""

"""The adapter between the decision module and the bench's wire. It decides nothing."""

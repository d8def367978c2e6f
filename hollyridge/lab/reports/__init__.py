"""Recordings of simulated and live days, cost profiles, and HTML pages with plots."""

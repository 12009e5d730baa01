"""The simulator's wire: JSON lines on standard input and output, many instances that share nothing."""

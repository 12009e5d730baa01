"""The command line beside the plain node: looks, tools and stand-ins. A node imports nothing of this."""

"""A dispatcher that runs beside each submitter and sends its requests to executors."""

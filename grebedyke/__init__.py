"""A dispatcher that runs alongside each submitter of jobs and sends its requests to executors."""

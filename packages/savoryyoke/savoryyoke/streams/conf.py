"""Default settings of the reassembly of answers."""

RESUMES_LIMIT = 3
RESUME_BUFFER_LIMIT_BYTES = 1024 * 1024
EVENT_SEPARATOR = b'\n\n'

"""Print measurements."""


def print_line(name, **values):
    """Print one measurement as a line of key=value pairs."""
    pairs = ' '.join(f'{key}={value}' for key, value in values.items())
    print(f'measure={name} {pairs}', flush=True)

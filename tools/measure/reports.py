"""Print measurements as lines of key=value pairs."""


def print_line(name, **values):
    """Print the values of one measurement on one line."""
    pairs = ' '.join(f'{key}={value}' for key, value in values.items())
    print(f'measure={name} {pairs}', flush=True)

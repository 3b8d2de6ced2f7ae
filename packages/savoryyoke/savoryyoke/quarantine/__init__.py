"""Stop requests that crash each back end that runs them."""

"""Give orders to engines that cannot take effect out of date."""

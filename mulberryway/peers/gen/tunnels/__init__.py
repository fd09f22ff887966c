__all__ = ['ttypes', 'constants', 'Tunnels']

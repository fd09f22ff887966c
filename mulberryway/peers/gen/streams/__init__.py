__all__ = ['ttypes', 'constants', 'Streams']

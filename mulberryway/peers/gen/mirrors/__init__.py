__all__ = ['ttypes', 'constants', 'Mirrors']

__all__ = ['ttypes', 'constants', 'Claims']

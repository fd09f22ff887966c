__all__ = ['ttypes', 'constants', 'Configuration']

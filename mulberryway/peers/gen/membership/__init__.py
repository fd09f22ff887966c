__all__ = ['ttypes', 'constants', 'Membership']

__all__ = ['ttypes', 'constants', 'Allowances']

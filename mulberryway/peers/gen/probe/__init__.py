__all__ = ['ttypes', 'constants', 'Probe']

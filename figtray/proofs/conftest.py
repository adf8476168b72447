"""Set-up of the proofs; the ordinary test run leaves them out."""

import os

import pytest

from figtray.proofs import callers
from figtray.proofs import deployment

# The proofs are timed and start processes, so they are no part of CI.
if not os.environ.get('FIGTRAY_PROVE'):
    collect_ignore_glob = ['test_*.py']


@pytest.fixture(scope='module')
def fleet(request):
    """Run a deployment of the module's own NAME and NUMBER."""
    module = request.module
    options = getattr(module, 'OPTIONS', {})
    with deployment.Deployment(module.NAME, module.NUMBER, **options) as fleet:
        callers.warm_up(fleet)
        yield fleet

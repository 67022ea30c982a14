"""Tests of the borders to the platform and the deployment."""

import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
SOURCE = ROOT / 'src' / 'dandelioncleat'
NAMES = (
    'Deadline-Ms',
    'Expect-Instance',
    'Kv-From',
    'Not-Run',
    'Prompt-Prefix',
    'Request-Id',
    'Request-Priority',
    'Server-Load',
    'Server-Stamp',
    "'Tenant'",
    'Token-Count',
    '/dandelioncleat/',
    'DANDELIONCLEAT_',
    "'keyed.",
    'kvCapacity',
    'pathPrefix',
    'path_prefix',
    'apiKeys',
    'api_keys',
    'max_attempts',
)
# The operator's command has environment variables of its own.
OPERATOR_PACKAGE = 'operator'
# The product's own HTTP interfaces use some of the same header names.
ALLOWED_NAMES_BY_FILE = {
    '_caller_key.py': ('Deadline-Ms',),
    '_target_http.py': ('Request-Id',),
    'engine_http.py': ('Request-Id',),
    'service_http.py': ('Request-Id',),
}


class PlatformNamesTest(testtools.TestCase):
    """Only the platform adapter contains the platform's names."""

    def test_other_modules_contain_no_platform_name(self):
        found = []
        for path in sorted(SOURCE.rglob('*.py')):
            folder = path.relative_to(SOURCE).parts[0]
            if folder in {'platform', OPERATOR_PACKAGE}:
                continue
            text = path.read_text()
            found.extend(
                f'{path.name}: {name}'
                for name in NAMES
                if name in text
                and name not in ALLOWED_NAMES_BY_FILE.get(path.name, ())
            )
        self.assertEqual([], found)


class DeployedImportsTest(testtools.TestCase):
    """The deployed programs need only the deployed packages."""

    def test_both_programs_import_with_deployed_packages_only(self):
        listed = (ROOT / 'deploy' / 'requirements.txt').read_text()
        deployed = {line.partition('==')[0] for line in listed.split()}
        missing = {
            name
            for name, packages in packages_distributions().items()
            if not {_canonical(each) for each in packages} & deployed
        }
        missing -= {'dandelioncleat', '_distutils_hack'}
        # Several packages share the namespace of this one.
        missing.add('opentelemetry.exporter.otlp')
        for program in ('direct', 'gateway'):
            code = (
                'import importlib, sys;'
                f'sys.modules.update(dict.fromkeys({missing!r}));'
                f'importlib.import_module("dandelioncleat.daemons.{program}")'
            )
            made = subprocess.run(
                [sys.executable, '-c', code], capture_output=True, text=True
            )
            self.assertEqual('', made.stderr)


def _canonical(package):
    return package.lower().replace('_', '-')


class RequirementsTest(testtools.TestCase):
    """A deployment installs the locked versions."""

    def test_requirements_agree_with_the_lock_file(self):
        script = ROOT / 'deploy' / 'write_requirements.py'
        code = (
            'import runpy; '
            f'made = runpy.run_path({str(script)!r}); '
            'print(made["requirements_text"](), end="")'
        )
        made = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        listed = (ROOT / 'deploy' / 'requirements.txt').read_text()
        self.assertEqual(listed, made.stdout)

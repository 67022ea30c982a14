"""Tests that the platform's names stay in their folder."""

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
# The operator's command has variables of its own.
OWN_VARIABLES = 'operator'
# The product's own interface for callers and targets chose these itself.
OWN_HEADERS = {
    '_caller_key.py': ('Deadline-Ms',),
    '_target_http.py': ('Request-Id',),
    'engine_http.py': ('Request-Id',),
    'service_http.py': ('Request-Id',),
}


class PlatformNamesTest(testtools.TestCase):
    """Only the adapter knows what the platform calls things."""

    def test_no_other_module_has_one(self):
        found = []
        for path in sorted(SOURCE.rglob('*.py')):
            folder = path.relative_to(SOURCE).parts[0]
            if folder in {'platform', OWN_VARIABLES}:
                continue
            text = path.read_text()
            found.extend(
                f'{path.name}: {name}'
                for name in NAMES
                if name in text and name not in OWN_HEADERS.get(path.name, ())
            )
        self.assertEqual([], found)


class DeployedImportsTest(testtools.TestCase):
    """The deployed programs run on what a deployment installs."""

    def test_both_programs(self):
        listed = (ROOT / 'deploy' / 'requirements.txt').read_text()
        deployed = {line.partition('==')[0] for line in listed.split()}
        missing = {
            name
            for name, packages in packages_distributions().items()
            if not {_canonical(each) for each in packages} & deployed
        }
        missing -= {'dandelioncleat', '_distutils_hack'}
        # Several packages share the first part of this name.
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
    """What a deployment installs is what was locked and tested."""

    def test_the_list_agrees_with_the_lock_file(self):
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

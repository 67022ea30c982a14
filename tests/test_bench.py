"""Benchmarks: fits, tables, and each bench at tiny sizes."""

import json
import tempfile
from io import StringIO
from pathlib import Path

from rich.console import Console
from testtools import TestCase

from dandelioncleat.__main__ import new_parser
from dandelioncleat.bench import commands
from dandelioncleat.bench.control import FleetSize, measure, run_control
from dandelioncleat.bench.decisions import run_decisions
from dandelioncleat.bench.folds import run_folds
from dandelioncleat.bench.path import Sizes, run_path
from dandelioncleat.bench.result import Figure, Point, fit, new_result


class FitTest(TestCase):
    def test_points_on_a_line_leave_no_residual(self) -> None:
        points = [Point(size, 3 + 2 * size) for size in (1, 2, 5, 9)]
        slope = fit('name', points, unit='us', per='target')
        self.assertAlmostEqual(2, slope.slope)
        self.assertAlmostEqual(3, slope.intercept)
        self.assertAlmostEqual(0, slope.residual)
        self.assertAlmostEqual(203, slope.at(100))

    def test_residual_is_the_largest_distance(self) -> None:
        points = [Point(0, 0), Point(1, 4), Point(2, 0), Point(3, 4)]
        slope = fit('name', points, unit='us', per='target')
        # The line is 0.8 + 0.8 size, whose distance from (1, 4) is 2.4.
        self.assertAlmostEqual(0.6, slope.residual)

    def test_zeros_have_no_residual(self) -> None:
        points = [Point(size, 0) for size in range(4)]
        self.assertEqual(0, fit('name', points, unit='', per='').residual)

    def test_three_sizes_are_too_few(self) -> None:
        points = [Point(size, size) for size in (1, 2, 3, 3)]
        self.assertRaises(ValueError, fit, 'name', points, unit='', per='')


class BenchTest(TestCase):
    def test_folds(self) -> None:
        result = run_folds(
            commit='c0ffee',
            budgets=(1, 2, 3, 4),
            bills=(10, 20, 30, 40),
            organisations=(1, 2, 3, 4),
        )
        self.assertEqual('c0ffee', result.commit)
        slopes = {slope.name: slope for slope in result.slopes}
        self.assertGreater(slopes['billed_checkpoint'].slope, 0)

    def test_decisions(self) -> None:
        sizes = (1, 2, 3, 4)
        result = run_decisions(
            commit='', targets=sizes, budgets=(10, 11, 12, 13), held=sizes
        )
        names = [slope.name for slope in result.slopes]
        self.assertIn('reserve_and_settle', names)

    def test_control_counts_reports_by_router(self) -> None:
        few = measure(FleetSize(routers=1, targets=2))
        more = measure(FleetSize(routers=2, targets=2))
        self.assertEqual(2 * few.frames(), more.frames())
        self.assertEqual(2 * few.frame_bytes(), more.frame_bytes())

    def test_control(self) -> None:
        sizes = (1, 2, 3, 4)
        result = run_control(
            commit='',
            routers=sizes,
            targets=sizes,
            organisations=sizes,
            requests_per_s=sizes,
        )
        names = [figure.name for figure in result.figures]
        self.assertIn('frame Dispatch count', names)

    def test_path(self) -> None:
        sizes = Sizes(streams=2, tokens=(1, 2, 3, 4), requests=4)
        result = run_path(commit='', sizes=sizes)
        names = [figure.name for figure in result.figures]
        self.assertIn('whole_first_p95_ratio', names)
        self.assertIn('path_tokens_per_core', names)


class CommandTest(TestCase):
    def test_output_and_tables(self) -> None:
        slope = fit(
            'memory', [Point(n, n) for n in range(4)], unit='B', per='budget'
        )
        result = new_result(
            'folds',
            commit='c0ffee',
            slopes=[slope],
            figures=[Figure('decode', 'us', 2.5)],
        )
        output = StringIO()
        commands.show(result, Console(file=output, width=100))
        for text in ('memory', 'budget', 'decode', '2.5', '0%'):
            self.assertIn(text, output.getvalue())

    def test_result_file_names_the_commit(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / 'result.json'
        arguments = new_parser().parse_args(
            ['bench', 'decisions', '--commit', 'c0ffee', '--output', str(path)]
        )
        bench = commands.BENCHES['decisions']
        self.addCleanup(commands.BENCHES.update, decisions=bench)
        commands.BENCHES['decisions'] = lambda commit: new_result(
            'decisions', commit=commit, slopes=()
        )
        self.assertEqual(0, arguments.run(arguments))
        self.assertEqual('c0ffee', json.loads(path.read_bytes())['commit'])

"""Tests of parsing, validating and searching tables."""

import time
import unittest

from mulberryway import tables
from mulberryway.tables import parse
from mulberryway.tables import validate
from tests import samples


class ParseTest(unittest.TestCase):
    def test_text_round_trip(self):
        tables_ = parse.parse_tables(samples.TABLES).ok
        rows = parse.encode_tables(tables_)
        reparsed = parse.parse_tables(parse.format_rows(rows)).ok
        self.assertEqual(rows, parse.encode_tables(reparsed))
        self.assertTrue(validate.validate_tables(tables_).is_ok())

    def test_bad_values_name_their_place(self):
        for old, new, place in (
            ("rate = 900", "rate = 0", "accounts.tea.rate"),
            ("rate = 900", "rate = true", "accounts.tea.rate"),
            ("rate = 900", "rat = 900", "accounts.tea.rat"),
            ("rate = 900\n", "", "accounts.tea.rate"),
            ('pool = "lm-pool"', "pool = 3", "routes.lm.pool"),
            ('kind = "model"', 'kind = "modal"', "pools.lm-pool.kind"),
            ("127.0.0.1:9", "127.0.0.1", "upstreams.p1.address"),
            ("127.0.0.1:9", "127.0.0.1:99999", "upstreams.p1.address"),
            ('"upstream-secret"', '"a\\nb"', "pools.lm-pool.credential"),
            ("[routes.lm]", "[rutes.lm]", "rutes"),
            ("[routes.lm]", "[routes.'l m']", "routes.l m"),
            ("[routes.lm]", "[routes.lm", "text"),
        ):
            with self.subTest(place=place, new=new):
                text = samples.TABLES.replace(old, new, 1)
                fault = parse.parse_tables(text).error
                self.assertEqual(fault.peer, place)
                self.assertIn("expected", fault.message)


class ValidateTest(unittest.TestCase):
    def test_cross_row_errors_name_their_place(self):
        other = f'key_digests = ["{samples.digest("other-key")}"]'
        twice = f'key_digests = ["{samples.digest("tea-key")}"]'
        for old, new, place in (
            ('pool = "lm-pool"', 'pool = "none"', "routes.lm.pool"),
            ('models = ["m1"]\nidem', 'models = ["m9"]\nidem', "lm.models"),
            ('accounts = ["tea"]', 'accounts = ["no"]', "member.accounts"),
            ('"/v1/completions"', '"/member/"', "member.path_prefix"),
            ('role = "prefill"', 'role = "decode"', "lm-pool.upstreams"),
            ('role = "decode"', 'role = "service"', "lm-pool.upstreams"),
            ('role = "service"', 'role = "both"', "member-api.upstreams"),
            ("127.0.0.1:10", "127.0.0.1:9", "upstreams.d1.address"),
            (other, twice, "accounts.other.key_digests"),
        ):
            with self.subTest(place=place, new=new):
                self.assertIn(old, samples.TABLES)
                text = samples.TABLES.replace(old, new, 1)
                tables_ = parse.parse_tables(text).ok
                fault = validate.validate_tables(tables_).error
                self.assertTrue(fault.peer.endswith(place), fault.peer)


class RouteTest(unittest.TestCase):
    def make(self, *rows):
        routes = tuple(
            tables.Route(f"{host}{prefix}", prefix, "p", host=host)
            for host, prefix in rows
        )
        return tables.Tables(1, routes, (), ())

    def find(self, tables_, path, host=""):
        route = tables_.find_route(path, host)
        return None if route is None else route.name

    def test_longest_prefix_wins(self):
        tables_ = self.make(
            ("", "/"), ("", "/a/"), ("", "/a/b"), ("", "/a/b/c")
        )
        self.assertEqual(self.find(tables_, "/a/b/c/d"), "/a/b/c")
        self.assertEqual(self.find(tables_, "/a/b"), "/a/b")
        self.assertEqual(self.find(tables_, "/a/bc"), "/a/")
        self.assertEqual(self.find(tables_, "/a"), "/")
        self.assertEqual(self.find(tables_, "/other"), "/")

    def test_host_is_matched_with_the_prefix(self):
        tables_ = self.make(("x", "/a/"), ("", "/a/"), ("y", "/a/b/"))
        self.assertEqual(self.find(tables_, "/a/b/c", "x"), "x/a/")
        self.assertEqual(self.find(tables_, "/a/b/c", "y"), "y/a/b/")
        self.assertEqual(self.find(tables_, "/a/b/c", "z"), "/a/")

    def test_lookup_time_with_many_routes(self):
        """The cost of finding a route must not grow with their number.

        With thousands of routes, a linear search would take milliseconds per
        request.
        """
        tables_ = self.make(*(("x", f"/r{n}/") for n in range(20_000)))
        start_s = time.perf_counter()
        for _ in range(1_000):
            tables_.find_route("/r1/a/b", "x")
        self.assertLess(time.perf_counter() - start_s, 0.5)

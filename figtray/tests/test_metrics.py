"""Tests of the metrics."""

import http.server
import threading

from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2

import figtray
from figtray import metrics
from figtray import release
from figtray.settings import types


def series(page):
    """Return the name of each series of a page, with its labels cut off."""
    return [
        line.partition('{')[0].partition(' ')[0]
        for line in page.splitlines()
        if not line.startswith('#')
    ]


class TestMetrics:
    # Guards against a text page that Prometheus cannot parse.
    def test_histograms_and_counters(self):
        meter = metrics.Metrics('test')
        meter.record_start('a', 9)
        meter.record_start('a', 7)
        meter.record_run('a', 'done', 3)
        meter.count_refused_start('no-capacity')
        lines = meter.page().splitlines()
        labels = 'team="a"'
        assert f'figtray_start_wait_ms_bucket{{{labels},le="5"}} 0' in lines
        assert f'figtray_start_wait_ms_bucket{{{labels},le="10"}} 2' in lines
        assert f'figtray_start_wait_ms_bucket{{{labels},le="+Inf"}} 2' in lines
        assert f'figtray_start_wait_ms_sum{{{labels}}} 16' in lines
        assert f'figtray_run_time_ms_count{{{labels},end="done"}} 1' in lines
        assert '# TYPE figtray_refused_starts_total counter' in lines
        assert (
            'figtray_refused_starts_total{reason="no-capacity"} 1'
        ) in lines

    # Guards against a report whose metrics don't tell which code it is of.
    def test_page_names_the_code(self):
        sources = release.sources_digest()
        line = (
            f'figtray_build_info{{version="{figtray.__version__}",'
            f'sources="{sources}"}} 1'
        )
        assert line in metrics.Metrics('test').page().splitlines()

    # Guards against waits that are over between two readings of the page.
    def test_waits_of_a_takeover_remain_visible(self):
        meter = metrics.Metrics('test')
        meter.record_lasting_start(4500)
        meter.record_takeover(metrics.TakeoverPhase.FIRST_START, 1500)
        meter.clear_waits()
        lines = meter.page().splitlines()
        assert 'figtray_lasting_start_wait_ms_bucket{le="3700"} 0' in lines
        assert 'figtray_lasting_start_wait_ms_bucket{le="5000"} 1' in lines
        assert (
            'figtray_takeover_time_ms_sum{phase="first-start"} 1500'
        ) in lines

    # Guards against series without bound, which would exhaust the memory.
    def test_further_teams_count_as_other(self):
        settings = types.MetricsSettings(max_teams=1)
        meter = metrics.Metrics('test', settings=settings)
        for team in 'abc':
            meter.record_start(team, 1)
        lines = meter.page().splitlines()
        assert 'figtray_start_wait_ms_count{team="a"} 1' in lines
        assert 'figtray_start_wait_ms_count{team="other"} 2' in lines

    # Guards against label values that break the text page.
    def test_label_values_are_escaped(self):
        meter = metrics.Metrics('test')
        meter.record_start('a"\n\\', 1)
        assert r'{team="a\"\n\\"} 1' in meter.page()

    # Guards against values of a former term that nodes which don't lead show,
    # and against gauges that only the first reader of the page sees.
    def test_waits_are_shown_while_the_node_leads(self):
        meter = metrics.Metrics('test')
        code_alone = meter.page()
        assert series(code_alone) == ['figtray_build_info']
        meter.record_waits(2, {'takeover': 3, 'no-room': 0}, 4500)
        for _ in range(2):
            lines = meter.page().splitlines()
            assert '# TYPE figtray_held_tasks gauge' in lines
            assert 'figtray_awaited_incarnations 2' in lines
            assert 'figtray_held_tasks{reason="takeover"} 3' in lines
            assert 'figtray_held_tasks{reason="no-room"} 0' in lines
            assert 'figtray_longest_lasting_wait_ms 4500' in lines
        meter.clear_waits()
        assert meter.page() == code_alone

    # Guards against a stop that loses the measurements since the last push.
    def test_push_at_close(self):
        bodies = []

        class Receiver(http.server.BaseHTTPRequestHandler):
            def do_POST(self):
                size = int(self.headers['Content-Length'])
                bodies.append(self.rfile.read(size))
                self.send_response(200)
                self.send_header('Content-Length', '0')
                self.end_headers()

            def log_message(self, *args):
                pass

        receiver = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Receiver)
        thread = threading.Thread(target=receiver.serve_forever)
        thread.start()
        url = f'http://127.0.0.1:{receiver.server_port}/v1/metrics'
        meter = metrics.Metrics(
            'test', 'entry-1', types.MetricsSettings(otlp_endpoint=url)
        )
        meter.count_refused_start('ticket')
        meter.close()
        receiver.shutdown()
        thread.join()
        receiver.server_close()
        message = metrics_service_pb2.ExportMetricsServiceRequest()
        message.ParseFromString(bodies[-1])
        code, metric = message.resource_metrics[0].scope_metrics[0].metrics
        if code.name == 'figtray_refused_starts':
            code, metric = metric, code
        assert code.name == 'figtray_build_info'
        assert metric.name == 'figtray_refused_starts'
        assert metric.sum.data_points[0].as_int == 1

package telemetry_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/propagation"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
)

func TestSetupRefusesUnknownValues(t *testing.T) {
	cases := []struct {
		name string
		cfg  telemetry.Config
	}{
		{"log level", telemetry.Config{LogLevel: "loud"}},
		{"log format", telemetry.Config{LogFormat: "xml"}},
		{"trace exporter", telemetry.Config{TraceExporter: "pigeon"}},
		{"otlp without an endpoint", telemetry.Config{TraceExporter: telemetry.ExporterOTLP}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := telemetry.Setup(c.cfg); errcode.Of(err) != errcode.InvalidArgument {
				t.Errorf("got error %v, want invalid argument", err)
			}
		})
	}
}

func TestShutdownFlushesSpansThatCarryTheCallersTrace(t *testing.T) {
	const callersTrace = "0af7651916cd43dd8448eb211c80319c"
	var spans, log bytes.Buffer
	tel, err := telemetry.Setup(telemetry.Config{
		Program: "gateway", Instance: "entry-1", FailureDomain: "hall-a",
		LogFormat: telemetry.FormatJSON, LogOutput: &log,
		TraceExporter: telemetry.ExporterStdout, TraceOutput: &spans,
	})
	if err != nil {
		t.Fatal(err)
	}
	header := http.Header{"Traceparent": {"00-" + callersTrace + "-b7ad6b7169203331-01"}}
	ctx := tel.Propagator.Extract(context.Background(), propagation.HeaderCarrier(header))
	_, span := tel.Tracer.Start(ctx, "route")
	span.End()
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{callersTrace, "entry-1", "hall-a", "gateway"} {
		if !strings.Contains(spans.String(), want) {
			t.Errorf("spans lack %q: %s", want, spans.String())
		}
	}
	tel.Log.Info("hello")
	if !strings.Contains(log.String(), `"instance":"entry-1"`) {
		t.Errorf("log lacks the instance: %s", log.String())
	}
}

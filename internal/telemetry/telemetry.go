// Package telemetry creates a process's logger and tracer from its settings, the same
// way in every program.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// The trace exporters.
const (
	// ExporterNone records no spans; trace contexts in W3C headers are still passed on.
	ExporterNone = "none"
	// ExporterStdout writes spans as JSON to Config.TraceOutput.
	ExporterStdout = "stdout"
	// ExporterOTLP sends spans by OTLP over HTTP to Config.TraceEndpoint.
	ExporterOTLP = "otlp"
)

// The resource attributes of spans, named by OpenTelemetry's semantic conventions.
const (
	serviceNameKey      = attribute.Key("service.name")
	serviceInstanceKey  = attribute.Key("service.instance.id")
	availabilityZoneKey = attribute.Key("cloud.availability_zone")
	cloudRegionKey      = attribute.Key("cloud.region")
)

const (
	tracerName          = "github.com/goldcrestspool/goldcrestspool"
	defaultSampledShare = 1.0
	defaultLogLevel     = "info"
)

// Config configures logs and traces. Empty values stand for the defaults: log level
// info, log format text, trace exporter none.
type Config struct {
	// Program is the logger's name and the spans' service name, for example "gateway".
	Program       string
	Instance      ident.Instance
	FailureDomain ident.FailureDomain
	Region        ident.Region
	LogLevel      string
	LogFormat     string
	// LogOutput is where the log is written. Nil is os.Stderr.
	LogOutput     io.Writer
	TraceExporter string
	// TraceEndpoint is the URL that OTLP spans are sent to, for example
	// "http://127.0.0.1:4318/v1/traces".
	TraceEndpoint string
	// TraceOutput is where ExporterStdout writes spans. Nil is os.Stderr, because
	// stdout carries the program's events.
	TraceOutput io.Writer
	// SampledShare is the fraction of new traces that is sampled, from 0 to 1. Nil
	// samples all. For a trace that a caller began, the caller's decision holds.
	SampledShare *float64
}

// Telemetry holds a process's logger and tracer. Create it with Setup.
type Telemetry struct {
	Log    hclog.Logger
	Tracer trace.Tracer
	// Propagator reads and writes trace contexts in W3C headers.
	Propagator propagation.TextMapPropagator
	provider   trace.TracerProvider
	shutdown   func(context.Context) error
}

// Setup creates the logger and the tracer, and sets OpenTelemetry's globals: the tracer
// provider, the propagator and an error handler that logs. Its errors have the code
// errcode.InvalidArgument if a value of cfg is not known.
func Setup(cfg Config) (*Telemetry, error) {
	log, err := NewLog(cfg)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{
		Log:        log,
		Propagator: propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}),
	}
	if err := t.setUpTracer(cfg); err != nil {
		return nil, err
	}
	otel.SetTracerProvider(t.provider)
	otel.SetTextMapPropagator(t.Propagator)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Named("telemetry").Warn("OpenTelemetry reported an error", "error", err)
	}))
	return t, nil
}

// Provider returns the process's tracer provider.
func (t *Telemetry) Provider() trace.TracerProvider { return t.provider }

// Shutdown sends the spans that are still buffered, until ctx ends. Spans that end
// later are dropped.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errcode.Wrap(errcode.Unavailable, t.shutdown(ctx), "flush spans")
}

// NewLog creates the logger alone.
func NewLog(cfg Config) (hclog.Logger, error) {
	level := hclog.LevelFromString(valueOr(cfg.LogLevel, defaultLogLevel))
	if level == hclog.NoLevel {
		return nil, unknownValueError("log level", cfg.LogLevel, "trace, debug, info, warn, error or off")
	}
	format := valueOr(cfg.LogFormat, FormatText)
	if format != FormatText && format != FormatJSON {
		return nil, unknownValueError("log format", cfg.LogFormat, "text or json")
	}
	output := cfg.LogOutput
	if output == nil {
		output = os.Stderr
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       cfg.Program,
		Level:      level,
		JSONFormat: format == FormatJSON,
		Output:     output,
	})
	return log.With("instance", string(cfg.Instance)), nil
}

// setUpTracer sets the fields Tracer, provider and shutdown.
func (t *Telemetry) setUpTracer(cfg Config) error {
	exporter, err := newExporter(cfg)
	if err != nil {
		return err
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(newResource(cfg)),
		sdktrace.WithSampler(newSampler(cfg, exporter)),
	}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(options...)
	t.provider = provider
	t.shutdown = provider.Shutdown
	t.Tracer = provider.Tracer(tracerName)
	return nil
}

// newExporter returns the configured exporter, or nil for ExporterNone.
func newExporter(cfg Config) (sdktrace.SpanExporter, error) {
	switch valueOr(cfg.TraceExporter, ExporterNone) {
	case ExporterNone:
		return nil, nil
	case ExporterStdout:
		return newWriterExporter(cfg.TraceOutput)
	case ExporterOTLP:
		return newOTLPExporter(cfg.TraceEndpoint)
	}
	return nil, unknownValueError("trace exporter", cfg.TraceExporter, "none, stdout or otlp")
}

func newWriterExporter(output io.Writer) (sdktrace.SpanExporter, error) {
	if output == nil {
		output = os.Stderr
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(output))
	return exporter, errcode.Wrap(errcode.Internal, err, "create trace exporter")
}

func newOTLPExporter(endpoint string) (sdktrace.SpanExporter, error) {
	if endpoint == "" {
		return nil, unknownValueError("trace endpoint", endpoint, "a URL")
	}
	// New does not connect yet, so that an OTLP collector that is down cannot delay
	// the start.
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpoint))
	return exporter, errcode.Wrap(errcode.InvalidArgument, err, "create trace exporter")
}

// newSampler returns a sampler that samples nothing if there is no exporter.
func newSampler(cfg Config, exporter sdktrace.SpanExporter) sdktrace.Sampler {
	if exporter == nil {
		return sdktrace.NeverSample()
	}
	share := defaultSampledShare
	if cfg.SampledShare != nil {
		share = *cfg.SampledShare
	}
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))
}

func newResource(cfg Config) *resource.Resource {
	return resource.NewSchemaless(
		serviceNameKey.String(cfg.Program),
		serviceInstanceKey.String(string(cfg.Instance)),
		availabilityZoneKey.String(string(cfg.FailureDomain)),
		cloudRegionKey.String(string(cfg.Region)),
	)
}

func unknownValueError(what, got, want string) error {
	return errcode.New(errcode.InvalidArgument, fmt.Sprintf("%s %q is not known, want %s", what, got, want))
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

package document

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func microsecondsPerUnit(b *testing.B, start time.Duration, units int) float64 {
	return float64((testkit.ProcessorTime(b) - start).Microseconds()) / float64(b.N*units)
}

// publications returns the records of one publication of each of count services,
// with the documents made from an example.
func publications(b *testing.B, count int) []platform.Record {
	example, err := os.ReadFile("../../examples/spool-llm.toml")
	if err != nil {
		b.Fatal(err)
	}
	records := make([]platform.Record, count)
	for i := range records {
		service := fmt.Sprintf("service-%04d", i)
		text := bytes.Replace(example, []byte(`"spool-llm"`), []byte(`"`+service+`"`), 1)
		data, err := EncodePublication(Publication{
			Service: ident.Service(service), PublishID: "0e8f7c1c-5d0e-4d5b-9c6c-0a0b0c0d0e0f",
			Schema: CurrentSchema, Document: text,
		})
		if err != nil {
			b.Fatal(err)
		}
		records[i] = platform.Record{Offset: ident.Offset(i), Data: data}
	}
	return records
}

// serviceCounts are the numbers of services that the benchmarks run with.
var serviceCounts = []int{10, 40, 160, 640}

func runForSizes(b *testing.B, measure func(b *testing.B, services int)) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { measure(b, services) })
	}
}

// BenchmarkStart measures the processor time in which a new process applies and
// parses all documents.
func BenchmarkStart(b *testing.B) {
	runForSizes(b, func(b *testing.B, services int) {
		records := publications(b, services)
		start := testkit.ProcessorTime(b)
		for b.Loop() {
			state, _ := Fold(State{}, records)
			if set, problems := BuildSet(state, nil, CurrentSchema); len(set.Services) != services {
				b.Fatal(problems)
			}
		}
		b.ReportMetric(microsecondsPerUnit(b, start, services), "cpu-µs/document")
	})
}

// BenchmarkChange measures the processor time that a process needs for one changed
// document.
func BenchmarkChange(b *testing.B) {
	runForSizes(b, func(b *testing.B, services int) {
		records := publications(b, services)
		state, _ := Fold(State{}, records[:services-1])
		set, _ := BuildSet(state, nil, CurrentSchema)
		start := testkit.ProcessorTime(b)
		for b.Loop() {
			next, _ := Fold(state, records[services-1:])
			BuildSet(next, set, CurrentSchema)
		}
		b.ReportMetric(microsecondsPerUnit(b, start, 1), "cpu-µs/change")
	})
}

// BenchmarkMemory measures the memory that the documents take in a process, and
// their bytes in snapshots, in records of the log and in messages between peers.
func BenchmarkMemory(b *testing.B) {
	runForSizes(b, func(b *testing.B, services int) {
		records := publications(b, services)
		before := testkit.LiveHeap()
		state, _ := Fold(State{}, records)
		set, _ := BuildSet(state, nil, CurrentSchema)
		held := testkit.LiveHeap() - before
		snapshot, err := EncodeSnapshot(state)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			runtime.KeepAlive(set)
		}
		record := len(records[services-1].Data)
		b.ReportMetric(float64(int(held)/services+record), "held-B/document")
		b.ReportMetric(float64(len(snapshot)/services), "snapshot-B/document")
		b.ReportMetric(float64(record), "record-B")
		b.ReportMetric(float64(len(state.Delta(ident.Revision(services - 1)).Records[0].Record)), "peer-B/change")
		runtime.KeepAlive(state)
	})
}

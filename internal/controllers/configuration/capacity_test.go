package configuration

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// BenchmarkQuietHour measures the processor time of one process that follows a
// log and peers without changes for an hour of virtual time. It leaves out the
// cost of reads over a network.
func BenchmarkQuietHour(b *testing.B) {
	for b.Loop() {
		var used time.Duration
		// synctest needs a testing.T.
		ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
			Name: "hour",
			F: func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { used = quietHour(t) })
			},
		}})
		if !ok {
			b.Fatal("failed")
		}
		b.ReportMetric(float64(used.Microseconds())/time.Hour.Seconds(), "cpu-µs/s")
	}
}

func quietHour(t *testing.T) time.Duration {
	c := newCluster()
	defer c.stopAll()
	c.publishNext(t, "a", 1, documentText(service, "a"))
	time.Sleep(time.Minute)
	start := testkit.ProcessorTime(t)
	time.Sleep(time.Hour)
	return (testkit.ProcessorTime(t) - start) / time.Duration(len(c.processes))
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkBytes measures the bytes that a process and the log exchange over
// Connect for a read that returns no records and for one that returns a changed
// document of 1.4 KB, and the size of a peer's answer with the same change.
func BenchmarkBytes(b *testing.B) {
	log := logstore.New(logstore.Options{})
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{Log: log})
	server := httptest.NewServer(mux)
	defer server.Close()
	var bytes atomic.Int64
	client := connectplatform.NewClient(&http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &bytes}, err
		},
	}}, server.URL)
	example, err := os.ReadFile("../../../examples/spool-llm.toml")
	if err != nil {
		b.Fatal(err)
	}
	record, err := document.EncodePublication(document.Publication{
		Service: service, PublishID: "p1", Schema: 1, Document: example,
	})
	if err != nil {
		b.Fatal(err)
	}
	read := func(from ident.Offset) int64 {
		before := bytes.Load()
		if _, err := client.Read(context.Background(), document.StreamName, from, readLimit, 0); err != nil {
			b.Fatal(err)
		}
		return bytes.Load() - before
	}
	if _, err := log.Append(context.Background(), document.StreamName, [][]byte{record}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		b.ReportMetric(float64(read(1)), "empty-read-B")
		b.ReportMetric(float64(read(0)), "change-read-B")
	}
	answer := toProto(document.Delta{CompleteThrough: 1, Records: []document.DeltaRecord{{Revision: 1, Record: record}}})
	b.ReportMetric(float64(proto.Size(answer)), "peer-answer-B")
}

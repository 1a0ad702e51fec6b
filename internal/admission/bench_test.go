package admission

import (
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkAdmit measures Admit and Done for requests that are granted, and
// Admit for requests that are refused because of their account's rate limit.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{5, 500} {
		for _, parallel := range []int{1, 12} {
			name := fmt.Sprintf("accounts=%d/parallel=%d", accounts, parallel)
			b.Run("granted/"+name, func(b *testing.B) { benchmarkAdmit(b, accounts, parallel, 0) })
			b.Run("refused/"+name, func(b *testing.B) { benchmarkAdmit(b, accounts, parallel, 0.001) })
		}
	}
}

func benchmarkAdmit(b *testing.B, accounts, parallel int, rate float64) {
	ctl := New(Config{Gate: gate.Config{Slots: 1 << 20}})
	requests := benchmarkRequests(accounts, rate)
	for _, r := range requests {
		if ticket, _ := ctl.Admit(b.Context(), r); ticket != nil {
			ticket.Done(Result{})
		}
	}
	var next atomic.Int64
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(parallel))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1))
		for pb.Next() {
			i++
			if ticket, _ := ctl.Admit(b.Context(), requests[i%accounts]); ticket != nil {
				ticket.Done(Result{})
			}
		}
	})
}

func benchmarkRequests(accounts int, rate float64) []Request {
	list := make([]Request, accounts)
	for i := range list {
		list[i] = Request{
			Service: "s", ID: ident.Request(strconv.Itoa(i)), Account: ident.ClientAccount(strconv.Itoa(i)),
			Class: shortClass, Limit: document.AccountLimit{RequestsPerSecond: rate, Burst: 1, MaxInFlight: 1000},
		}
	}
	return list
}

// BenchmarkRecordAttemptEnd measures the recording of an ended attempt.
func BenchmarkRecordAttemptEnd(b *testing.B) {
	for _, upstreams := range []int{9, 690} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			ctl := New(Config{})
			ids := make([]ident.Instance, upstreams)
			for i := range ids {
				ids[i] = ident.Instance(strconv.Itoa(i))
			}
			ctl.SetUpstreams("s", ids)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				ctl.RecordAttemptEnd("s", Result{Upstream: ids[i%upstreams], FirstToken: time.Second, InFlight: 8}, time.Second)
			}
		})
	}
}

// BenchmarkMemory measures the memory that a controller keeps for each client
// account.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesUsed(b, accounts)/float64(accounts), "bytes/account")
			}
		})
	}
}

func bytesUsed(b *testing.B, accounts int) float64 {
	requests := benchmarkRequests(accounts, 100)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctl := New(Config{Gate: gate.Config{Slots: 1 << 20}})
	for _, r := range requests {
		ticket, refusal := ctl.Admit(b.Context(), r)
		if refusal != nil {
			b.Fatal(refusal)
		}
		ticket.Done(Result{})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(ctl)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

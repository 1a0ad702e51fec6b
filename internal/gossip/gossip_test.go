package gossip

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

var start = time.Unix(1000, 0)

func report(node string, life, seq uint64) Report {
	return Report{
		Contact: Contact{Node: ident.Instance(node), Address: node + ":1"}, Incarnation: ident.Incarnation(life), Seq: seq, WallMillis: start.UnixMilli(),
	}
}

func TestTableStories(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name         string
		play         func(*Table)
		now          time.Duration
		fresh, known int
	}{
		{"heard just now", func(t *Table) { t.RecordReport(report("b", 1, 1), at(0), start) }, time.Second, 1, 1},
		{"silent for a while: it may still admit requests", func(t *Table) { t.RecordReport(report("b", 1, 1), at(0), start) }, 2 * time.Second, 0, 1},
		{"silent for long", func(t *Table) { t.RecordReport(report("b", 1, 1), at(0), start) }, 16 * time.Second, 0, 0},
		{"left", func(t *Table) {
			r := report("b", 1, 1)
			r.Leaving = true
			t.RecordReport(r, at(0), start)
		}, 3 * time.Second, 0, 0},
		{"an older report changes nothing", func(t *Table) {
			t.RecordReport(report("b", 1, 5), at(0), start)
			t.RecordReport(report("b", 1, 4), at(2*time.Second), start)
		}, 2500 * time.Millisecond, 0, 1},
		// Symptom: a gateway that was restarted is not heard for as long as its
		// clock was set back. Cause: lives are compared by their time of start.
		{"restarted with its clock set back", func(t *Table) {
			t.RecordReport(report("b", 9, 100), at(0), start)
			t.RecordReport(report("b", 7, 1), at(2*time.Second), start)
		}, 2500 * time.Millisecond, 1, 1},
		{"its own word, sent back", func(t *Table) { t.RecordReport(report("a", 1, 1), at(0), start) }, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(Contact{Node: "a", Address: "a:1"}, nil)
			c.play(table)
			if v := table.DirectPeers(at(c.now)); len(v.Fresh) != c.fresh || v.Known != c.known {
				t.Errorf("%d fresh, %d known, want %d and %d", len(v.Fresh), v.Known, c.fresh, c.known)
			}
		})
	}
}

// Symptom: usage is counted in the wrong window. Sequence: the time of day jumps
// on some of the machines, this one or others. Cause: a machine's own time of day.
func TestTheMedianClockCounts(t *testing.T) {
	for _, c := range []struct {
		name string
		offs []time.Duration
		want time.Duration
	}{
		{"all agree", []time.Duration{0, time.Millisecond, -time.Millisecond}, 0},
		{"two others are ahead", []time.Duration{2 * time.Second, 2 * time.Second, 0, 0, 0}, 0},
		{"this one is ahead", []time.Duration{-2 * time.Second, -2 * time.Second, -2 * time.Second, -2 * time.Second}, -2 * time.Second},
		{"alone", nil, 0},
	} {
		var v DirectPeers
		for _, off := range c.offs {
			v.Fresh = append(v.Fresh, Member{ClockOffset: off})
		}
		if got := v.WallCorrection(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// fakeKnowledge is what one gateway of a test knows.
type fakeKnowledge struct {
	mu   sync.Mutex
	self Report
	// calls are those of Learn and Heard, in their order.
	calls     []string
	config    *ConfigRecord
	upstreams directory.News
}

func (h *fakeKnowledge) Report(time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.self.Seq++
	if h.config != nil {
		h.self.Revision = h.config.Revision
	}
	h.self.Upstreams = h.upstreams.UpTo
	return h.self
}

func (h *fakeKnowledge) Config(than ident.Revision) *ConfigRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config
}

func (h *fakeKnowledge) Upstreams(_ ident.Offset, all bool) *directory.News {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstreams.Complete && !all {
		return nil
	}
	news := h.upstreams
	return &news
}

func (h *fakeKnowledge) Brief(now time.Time) Report { return h.Report(now) }

func (h *fakeKnowledge) Heard(*Report, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, "heard")
}

func (h *fakeKnowledge) Count([]LifeCounts) {}

func (h *fakeKnowledge) LimitOrder() upstreamlimit.Order { return upstreamlimit.Order{} }
func (h *fakeKnowledge) Lacks() bool                     { return false }

func (h *fakeKnowledge) Learn(config *ConfigRecord, upstreams *directory.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, "learned")
	if config != nil {
		h.config = config
	}
	if upstreams != nil {
		h.upstreams = *upstreams
	}
}

// startMesh starts n gateways that know only the first one's address.
func startMesh(t *testing.T, n int) ([]*Gossip, []*fakeKnowledge) {
	t.Helper()
	var gossips []*Gossip
	var holders []*fakeKnowledge
	seed := ""
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		if i == 0 {
			seed = address
		}
		name := ident.Instance(fmt.Sprintf("gw%02d", i))
		self := Contact{Node: name, Address: address}
		h := &fakeKnowledge{self: Report{Contact: self, Incarnation: 1, WallMillis: time.Now().UnixMilli()}}
		g := New(Config{
			Self: self, Incarnation: 1, Table: NewTable(self, []string{seed}), Knowledge: h,
			Network: OverHTTP{Pool: httpconn.NewPool(boottime.Now)}, Now: boottime.Now, Log: hclog.NewNullLogger(),
		})
		var serving sync.WaitGroup
		serving.Go(func() {
			if err := g.Serve(listener); err != nil && err != http.ErrServerClosed {
				t.Error(err)
			}
		})
		t.Cleanup(func() {
			if err := g.Close(); err != nil {
				t.Log(err)
			}
			serving.Wait()
		})
		gossips, holders = append(gossips, g), append(holders, h)
	}
	return gossips, holders
}

// Symptom: a change of the configuration does not reach a gateway that the store
// turns away. Sequence: one gateway of thirty learns of it; none but it hears from
// the store. Cause: news that only travels by the store.
func TestNewsReachesAllGatewaysInFewRounds(t *testing.T) {
	gossips, holders := startMesh(t, 30)
	round := 0
	rounds := func(n int) {
		for range n {
			for _, g := range gossips {
				var all sync.WaitGroup
				addresses := g.cfg.Table.Addresses(g.cfg.Self.Address, boottime.Now())
				for i := range min(len(addresses), fanout) {
					all.Go(func() { g.exchange(t.Context(), addresses[(round*fanout+i)%len(addresses)], g.encodeReport(false)) })
				}
				all.Wait()
				if heard, from := g.cfg.Table.newestConfig(boottime.Now()); g.cfg.Knowledge.Report(boottime.Now()).Revision < heard {
					g.fetchFrom(t.Context(), from[0])
				}
			}
			round++
		}
	}
	rounds(6)
	for i, g := range gossips {
		if v := g.cfg.Table.DirectPeers(boottime.Now()); v.Known != len(gossips)-1 {
			t.Fatalf("gateway %d knows %d others", i, v.Known)
		}
	}
	holders[17].config = &ConfigRecord{Revision: 5, Offset: 3, Data: []byte("x")}
	holders[3].upstreams = directory.News{Records: []directory.Record{{ID: "u", Offset: 7}}, UpTo: 8}
	rounds(4)
	for i, h := range holders {
		if h.config == nil || len(h.upstreams.Records) != 1 {
			t.Errorf("gateway %d: config %v, upstreams %v", i, h.config, h.upstreams)
		}
	}
}

// Symptom: requests reach upstreams that have left, and changes of the configuration
// come seconds late, at sixty gateways whose links carry 10 Mbit/s. Sequence: a
// configuration of 300 KB changes. Cause: each exchange with a gateway that lacks
// it carries it, from several gateways to several at once.
func TestALargeConfigurationIsFetchedOnce(t *testing.T) {
	gossips, holders := startMesh(t, 2)
	var lines strings.Builder
	for i := range 10_000 {
		fmt.Fprintf(&lines, `{"Prefix":"/%x/","Service":"b"},`, i*i*7919)
	}
	data := []byte(lines.String())
	holders[0].config = &ConfigRecord{Revision: 5, Offset: 3, Data: data}
	holders[0].upstreams = directory.News{Records: []directory.Record{{ID: "u", Offset: 7}}, UpTo: 8, Complete: true}
	lacking, address := gossips[1], gossips[0].cfg.Self.Address
	for range 10 {
		lacking.exchange(t.Context(), address, lacking.encodeReport(false))
	}
	if n := lacking.Bytes(); n > 10_000 || holders[1].config != nil || holders[1].upstreams.UpTo != 0 {
		t.Errorf("ten exchanges took %d bytes, configuration %v, entries up to %d", n, holders[1].config != nil, holders[1].upstreams.UpTo)
	}
	gossips[0].activeTransfers.Store(maxTransfers)
	lacking.fetchFrom(t.Context(), address)
	if holders[1].config != nil {
		t.Error("handed to more than are served at a time")
	}
	gossips[0].activeTransfers.Store(0)
	lacking.fetchFrom(t.Context(), address)
	if got := holders[1].config; got == nil || got.Revision != 5 || !bytes.Equal(got.Data, data) || holders[1].upstreams.UpTo != 8 {
		t.Error("not fetched")
	}
	if n := lacking.Bytes(); n > int64(len(data))/4 {
		t.Errorf("fetching took %d bytes", n)
	}
	if n := gossips[0].activeTransfers.Load(); n != 0 {
		t.Errorf("%d are counted as being handed it", n)
	}
}

// Symptom: hundreds of gateways read the store for themselves. Sequence: one of them tells
// what it read, and that it is the newest. Cause: what it confirms is looked at before
// what it brings, or a round later.
func TestWhatAnAnswerConfirmsCountsAfterWhatItBrings(t *testing.T) {
	gossips, holders := startMesh(t, 2)
	holders[0].upstreams = directory.News{Records: []directory.Record{{ID: "u", Offset: 7}}, UpTo: 8}
	gossips[1].exchange(t.Context(), gossips[0].cfg.Self.Address, gossips[1].encodeReport(false))
	if got := strings.Join(holders[1].calls, ", "); got != "learned, heard" {
		t.Errorf("%s", got)
	}
}

// Symptom: each of hundreds of gateways asks the store for each change of the
// configuration. Sequence: one of them has a small change. Cause: whoever hears of it is
// not told what it is.
func TestASmallConfigurationComesWithTheAnswer(t *testing.T) {
	gossips, holders := startMesh(t, 2)
	holders[0].config = &ConfigRecord{Revision: 5, Offset: 3, Data: []byte(strings.Repeat(`{"Prefix":"/a/","Service":"b"},`, 1000))}
	gossips[1].exchange(t.Context(), gossips[0].cfg.Self.Address, gossips[1].encodeReport(false))
	if got := holders[1].config; got == nil || got.Revision != 5 {
		t.Error("not handed on")
	}
}

func TestADamagedConfigurationIsRefused(t *testing.T) {
	if _, err := (&encodedConfig{Gzip: []byte("no gzip")}).decompress(); err == nil {
		t.Error("accepted")
	}
}

// Guards against a store that each of a thousand gateways reads for each change: a small
// change of a large configuration comes with the answer of whoever has it.
func TestASmallChangeOfALargeConfigurationComesWithTheAnswer(t *testing.T) {
	gossips, holders := startMesh(t, 2)
	var lines strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&lines, `{"Prefix":"/%x/","Service":"b","Key":"%x"},`, i*i*7919, i*104729)
	}
	before := []byte(lines.String())
	after := []byte(strings.Replace(lines.String(), `"Service":"b"`, `"Service":"c"`, 1))
	for _, h := range holders {
		h.config = &ConfigRecord{Revision: 5, Offset: 3, Data: before}
	}
	gossips[0].recordConfig()
	holders[0].config = &ConfigRecord{Revision: 9, Offset: 4, Data: after}
	gossips[1].exchange(t.Context(), gossips[0].cfg.Self.Address, gossips[1].encodeReport(false))
	if got := holders[1].config; got.Revision != 9 || got.Offset != 4 || !bytes.Equal(got.Data, after) {
		t.Errorf("revision %d", got.Revision)
	}
	if n := gossips[1].Bytes(); n > smallConfigBytes {
		t.Errorf("%d bytes for a change of one letter of %d", n, len(after))
	}
}

// Guards against a patch that is applied to another configuration than it was made from.
func TestAPatchOfAnotherConfigurationChangesNothing(t *testing.T) {
	gossips, holders := startMesh(t, 1)
	base := bytes.Repeat([]byte(`{"Prefix":"/a/","Service":"b"},`), 1000)
	patch, err := makePatch(base, append(base, 'x'))
	if err != nil {
		t.Fatal(err)
	}
	packed := &encodedConfig{Revision: 9, Base: 5, Patch: patch}
	holders[0].config = &ConfigRecord{Revision: 6, Data: base}
	if got, err := gossips[0].unpackConfig(packed); got != nil || err != nil {
		t.Errorf("revision 6 became %v, %v", got, err)
	}
	holders[0].config = &ConfigRecord{Revision: 5, Data: bytes.ToUpper(base)}
	if got, err := gossips[0].unpackConfig(packed); err == nil {
		t.Errorf("other data under the same revision became revision %d", got.Revision)
	}
}

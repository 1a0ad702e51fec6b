package gossip

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// fullReport returns a report in which all fields but LimitColumns are set.
func fullReport() Report {
	var sums enginemodel.Sums
	sums.AddSample(enginemodel.Sample{OwnTokens: 1000, TokensAhead: 500, Running: 3, FirstEvent: 80 * time.Millisecond}, sums.Fit())
	exact, err := enginemodel.SumsOf(sums.List())
	if err != nil {
		panic(err)
	}
	return Report{
		Contact:     Contact{Node: "gw-1", Address: "10.0.0.1:1", Domain: "hall-a", Cores: 0.192},
		Incarnation: 1 << 60, Seq: 7, WallMillis: -5, Leaving: true, HoldsLease: true, GivenUpFence: 9, Revision: 3, RevisionAge: time.Second,
		StoreEra: 3, KeptEntries: 6, CopyEnd: ident.NewPosition(2, 0), UpstreamsKnown: ident.NewPosition(2, 77), UpstreamsAge: 20 * time.Millisecond,
		Loads:           map[UpstreamKey]placement.Load{UpstreamKeyOf("u1"): {Running: 3, UnreadTokens: 12_000, Paused: 2}, UpstreamKeyOf("u2"): {}},
		Accounts:        map[ident.ClientAccount]Spending{"a": {Spent: 123_456_789, Refused: 4}},
		StartedRequests: WindowCounts{7: {"a": 1}},
		Demand:          map[ident.Service]placement.Demand{"llm": {PromptTokensPerSecond: 1000, Generating: 2.5}},
		Engines:         map[ident.Service]enginemodel.Sums{"llm": exact},
		Rollouts:        fullRollouts(),
		Poison:          fullPoison(),
		Limits: []upstreamlimit.LimitReport{
			{Upstream: 7, Limited: true, Rate: 0.5, Age: 40 * time.Millisecond}, {Upstream: 8, Limited: true}, {Upstream: 1 << 31, Age: time.Second},
		},
		LimitUses:        upstreamlimit.Uses{7: {Demand: 12.5, Sent: 2}, 1 << 31: {Demand: 0.125}},
		LimitSet:         1 << 31,
		UpstreamsLeaving: []announced.LeavingReport{{Upstream: "u1/5", Age: 40 * time.Millisecond}, {Upstream: "u2"}},
		Speeds:           fullSpeeds(),
	}
}

func fullMark(kind ident.FeatureKind, value uint64, tag uint8) ident.Mark {
	return ident.Mark{Feature: ident.Feature{Kind: kind, Value: value}, Tag: tag}
}

// fullPoison returns a report on poison requests in which all fields are set.
func fullPoison() poison.Report {
	return poison.Report{
		Crashes: []poison.Crash{{Upstream: 7, Age: 300 * time.Millisecond, Software: 4, Marks: []ident.Mark{fullMark(ident.ContentFeature, 1<<8, 0), fullMark(ident.ContentFeature, 1<<63, 5), fullMark(ident.PartFeature, 0xbad0, 7)}}},
		Verdicts: []poison.Verdict{
			{Feature: ident.Feature{Kind: ident.ContentFeature, Value: 9 << 8}, Ruling: poison.Cleared, Age: time.Second, Idle: 20 * time.Millisecond},
			{Feature: ident.Feature{Kind: ident.PartFeature, Value: 0xbad0}, Ruling: poison.Convicted, With: []ident.Feature{{Kind: ident.PartFeature, Value: 3}}, Software: 5, Age: time.Second, Idle: 20 * time.Millisecond},
			{Feature: ident.Feature{Kind: ident.PartFeature, Value: 0xa1}, Ruling: poison.Served, Age: time.Second, Idle: time.Second},
		},
	}
}

// fullSpeeds returns speeds that are exact in the units of messages.
func fullSpeeds() []speed.Entry {
	few, many := 2.25, 200.0
	return []speed.Entry{{Upstream: 7, Sums: speed.Sums{Weight: few, Log: few * meanUnit * -30}}, {Upstream: 1 << 31, Sums: speed.Sums{Weight: many, Log: many * meanUnit * 24}}}
}

// fullRollouts returns the state of a rollout order with all fields set.
func fullRollouts() rollout.OrderStates {
	evidence := make(rollout.EvidenceByRoute)
	for side := range rollout.Side(len(rollout.Evidence{})) {
		evidence.CountSent(rollout.KeyOf("r"), side)
		evidence.CountAnswer(rollout.KeyOf("r"), side, rollout.Answer{Failed: side > rollout.Old, Timed: true, Time: 0.3})
	}
	return rollout.OrderStates{{
		Order: rollout.Order{Service: "llm", To: "v2", TimeLimit: 12 * time.Second, At: ident.NewPosition(2, 9).Kept()}, Age: 3 * time.Second, Phase: rollout.Canary,
		ConfirmedAge: 200 * time.Millisecond, Stopped: true, Settled: 1, Evidence: evidence,
	}}
}

func TestMessagesTravelUnchanged(t *testing.T) {
	sum := &Sum{
		Source: "gw-1/5", Seq: 8, Domain: "hall-a", Heard: 3, Known: 4, Age: 130 * time.Millisecond, LeaseHolders: 1, GivenUpFence: 2, CountedReport: reportID{1 << 60, 9},
		Loads: map[UpstreamKey]placement.Load{4: {Running: 1, UnreadTokens: 2}}, Accounts: map[ident.ClientAccount]Spending{"a": {Spent: 1}},
		Demand: map[ident.Service]placement.Demand{"llm": {PromptTokensPerSecond: 1}}, Engines: map[ident.Service]enginemodel.Sums{},
		LimitUses: upstreamlimit.Uses{9: {Demand: 100, Sent: 20}},
		Speeds:    fullSpeeds(),
		Rollouts:  fullRollouts(), Poison: fullPoison(), SilentDomains: []ident.FailureDomain{"hall-b"}, TrueWallMillis: 1_800_000_000_000,
	}
	withColumns := *sum
	withColumns.LimitUses, withColumns.LimitColumns = nil, upstreamlimit.Columns{Hash: 5, Demand: []float64{1, 0}, Sent: []float64{0.5, 0}}
	up := directory.Upstream{
		ID: "u/1", Name: "u", Born: 36, Service: "llm", Address: "10.0.0.9:1", FailureDomain: "hall-b", Slots: 12, State: directory.Leaving,
		Reclaimable: true, LeavesIn: 2 * time.Second, SoftwareVersion: "v2", ColdFor: time.Second,
	}
	contacts := []Contact{{Node: "b", Address: "b:1", Domain: "hall-b", Cores: 0.8}}
	nothingKnown := fullReport()
	nothingKnown.UpstreamsKnown, nothingKnown.CopyEnd = ident.Position{}, ident.Position{}
	for name, m := range map[string]message{
		"between two":                  {From: fullReport(), KnownDigest: 5, Contacts: contacts, WantsLarge: true, Config: &encodedConfig{Revision: 5, At: ident.NewPosition(3, 6), Gzip: []byte("x")}},
		"from one that knows nothing":  {From: nothingKnown},
		"a patch":                      {From: fullReport(), AcceptsPatches: true, Config: &encodedConfig{Revision: 5, At: ident.NewPosition(3, 6), Base: 4, Patch: []byte("x")}},
		"news":                         {From: fullReport(), Upstreams: &directory.Update{UpTo: ident.NewPosition(3, 9), Through: ident.NewPosition(2, 12), Complete: true, Records: []directory.Record{{Name: "u", At: ident.NewPosition(2, 3), Upstream: &up}, {Name: "v", At: ident.NewPosition(3, 4), UsableFor: time.Second}, {Name: "w", At: ident.NewPosition(3, 5).Kept(), Copied: &up}, {Name: "x", At: ident.NewPosition(3, 0).Previous()}}}},
		"to a collector":               {From: fullReport(), Collect: true, SubtractsOwn: true, RosterDigests: map[ident.FailureDomain]uint64{"hall-a": 1}, WantsCounts: true, SpeedsAfter: 1 << 31},
		"to one that knows the limits": {From: fullReport(), Others: &withColumns},
		"from a collector":             {From: fullReport(), Others: sum, DomainSum: sum, Rosters: []Roster{{Domain: "hall-b", Gateways: contacts}}, Counts: []IncarnationCounts{{IncarnationID: "a/1", StartedRequests: WindowCounts{1: {"a": 2}}}}},
	} {
		data, err := m.encode()
		if err != nil {
			t.Fatal(name, err)
		}
		got, err := decode(data)
		if err != nil {
			t.Fatal(name, err)
		}
		if diff := cmp.Diff(&m, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestWindowsTravelUnchanged(t *testing.T) {
	for _, w := range []WindowCounts{
		nil,
		{7: {"a": 1}},
		// Windows are far apart after a clock was changed.
		{7: {"a": 1, "b": 2}, 8: {"b": 3}, 900_000: {"c": 1}},
	} {
		m := message{From: fullReport()}
		m.From.StartedRequests = w
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(w, got.From.StartedRequests); diff != "" {
			t.Error(diff)
		}
	}
}

// Another gateway's message is truncated, comes from an older build or contains impossible
// values. Guards against using such values unchecked: a gateway would crash, or all of them
// would place requests by a load that no gateway has.
func TestInvalidMessagesAreRejected(t *testing.T) {
	whole := message{From: fullReport()}
	data, err := whole.encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"cut":            data[:len(data)-3],
		"empty":          nil,
		"an older build": []byte(`{"from":{"node":"gw-1"}}`),
	} {
		if _, err := decode(data); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, change := range map[string]func(*exchangev1.Message){
		"no name":                   func(m *exchangev1.Message) { m.From.Node = "" },
		"no address":                func(m *exchangev1.Message) { m.From.Address = "" },
		"limits without ages":       func(m *exchangev1.Message) { m.From.Limits.AgeMs = nil },
		"a limit that is no number": func(m *exchangev1.Message) { m.From.Limits.PerSecond[0] = float32(nan()) },
		"an infinite limit":         func(m *exchangev1.Message) { m.From.Limits.PerSecond[0] = float32(math.Inf(1)) },
		"a limit of minus two":      func(m *exchangev1.Message) { m.From.Limits.PerSecond[0] = -2 },
		"a limit of a year ago":     func(m *exchangev1.Message) { m.From.Limits.AgeMs[0] = ^uint32(0) },
		"uses in order with names": func(m *exchangev1.Message) {
			m.Others = &exchangev1.Sum{Source: "s", LimitUses: &exchangev1.LimitUses{LimitSet: 5, Upstreams: []uint32{1}, Asked: []uint32{1}, Sent: []uint32{1}}}
		},
		"too few positions": func(m *exchangev1.Message) {
			m.Others = &exchangev1.Sum{Source: "s", LimitUses: &exchangev1.LimitUses{LimitSet: 5, Positions: []uint32{1}, Asked: []uint32{1, 2}, Sent: []uint32{1, 2}}}
		},
		"uses without figures":             func(m *exchangev1.Message) { m.From.LimitUses.Sent = nil },
		"uses of billions":                 func(m *exchangev1.Message) { m.From.LimitUses.Asked[0] = ^uint32(0) },
		"an age of a year":                 func(m *exchangev1.Message) { m.From.UpstreamsAgeMs = 365 * 86_400_000 },
		"a negative age":                   func(m *exchangev1.Message) { m.From.RevisionAgeMs = ^uint64(0) },
		"a negative load":                  func(m *exchangev1.Message) { m.From.Loads.Running[0] = ^uint32(0) },
		"pauses of billions":               func(m *exchangev1.Message) { m.From.Loads.Paused[0] = ^uint32(0) },
		"too few pauses":                   func(m *exchangev1.Message) { m.From.Loads.Paused = m.From.Loads.Paused[1:] },
		"loads without figures":            func(m *exchangev1.Message) { m.From.Loads.Running = nil },
		"too few counts":                   func(m *exchangev1.Message) { m.From.Began.Windows = []int64{1, 2} },
		"a negative count":                 func(m *exchangev1.Message) { m.From.Began.Accounts[0].Counts[0] = ^uint64(0) },
		"a rate that is no number":         func(m *exchangev1.Message) { m.From.Work[0].PromptTokensPerS = float32(nan()) },
		"a negative rate":                  func(m *exchangev1.Message) { m.From.Work[0].Generating = -1 },
		"sums of too few figures":          func(m *exchangev1.Message) { m.From.Work[0].Engines = m.From.Work[0].Engines[1:] },
		"sums that are no numbers":         func(m *exchangev1.Message) { m.From.Work[0].Engines[0] = float32(nan()) },
		"a machine of a million":           func(m *exchangev1.Message) { m.From.MilliCores = 1_000_000_000 },
		"a sum of nobody":                  func(m *exchangev1.Message) { m.Others = &exchangev1.Sum{} },
		"a sum of very many gateways":      func(m *exchangev1.Message) { m.Domain = &exchangev1.Sum{Source: "a/1", Heard: 1 << 30} },
		"a leaving upstream without an ID": func(m *exchangev1.Message) { m.From.UpstreamsLeaving[0].Id = "" },
		"leaving since a year":             func(m *exchangev1.Message) { m.From.UpstreamsLeaving[0].AgeMs = ^uint32(0) },
		"speeds without weights":           func(m *exchangev1.Message) { m.From.Speeds.Weights = nil },
		"too few means of speeds":          func(m *exchangev1.Message) { m.From.Speeds.Means = m.From.Speeds.Means[1:] },
		"a speed of infinite weight":       func(m *exchangev1.Message) { m.From.Speeds.Weights[0] = ^uint32(0) },
		"an impossible speed":              func(m *exchangev1.Message) { m.From.Speeds.Means[0] = 1 << 30 },
		"an end under nothing":             func(m *exchangev1.Message) { m.From.Poison.Crashes[0].Marks[0] = 7 },
		"a verdict of nothing":             func(m *exchangev1.Message) { m.From.Poison.Verdicts[0].Content = 0 },
		"parts without tags":               func(m *exchangev1.Message) { m.From.Poison.Crashes[0].PartTags = nil },
		"an end of a year ago":             func(m *exchangev1.Message) { m.From.Poison.Crashes[0].AgeMs = 365 * 86_400_000 },
		"a gateway without a name":         func(m *exchangev1.Message) { m.Contacts = []*exchangev1.Contact{{Address: "b:1"}} },
		"an upstream without address": func(m *exchangev1.Message) {
			m.Upstreams = &exchangev1.News{Records: []*exchangev1.EntryRecord{{Name: "u", Upstream: &exchangev1.Upstream{Id: "u", Service: "s"}}}}
		},
	} {
		var m exchangev1.Message
		if err := proto.Unmarshal(data, &m); err != nil {
			t.Fatal(err)
		}
		change(&m)
		changed, err := proto.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(changed); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func nan() float64 { var zero float64; return zero / zero }

func FuzzDecode(f *testing.F) {
	m := message{From: fullReport(), Others: &Sum{Source: "a/1"}}
	data, err := m.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		// Any input is either rejected or can be encoded again.
		if m, err := decode(data); err == nil {
			if _, err := m.encode(); err != nil {
				t.Log(err)
			}
		}
	})
}

// Guards against a gateway of an older build, which knows contents alone, that takes prompt parts for them.
func TestPartsAreApartFromContents(t *testing.T) {
	sent := poisonToProto(fullPoison())
	for _, mark := range sent.Crashes[0].Marks {
		if !slices.Contains(fullPoison().Crashes[0].Marks, ident.UnpackContentMark(mark)) {
			t.Errorf("mark %d is of no content", mark)
		}
	}
	if len(sent.Crashes[0].Marks) != 2 || len(sent.Verdicts) != 1 {
		t.Errorf("%d marks and %d verdicts in the fields of contents, want 2 and 1", len(sent.Crashes[0].Marks), len(sent.Verdicts))
	}
}

// Guards against reports that grow with prompt parts that crash upstreams: what a gateway reports about
// them must stay below 600 bytes, a tenth of the 24 KB that control may take in a second, whatever the
// prompts are.
func TestPartsTakeFewBytesOfAReport(t *testing.T) {
	const maxBytes = 600
	now := time.Unix(1_000_000, 0)
	tracker := poison.New(poison.Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(UpstreamKeyOf(id)) },
		Standing: func(ident.Instance, time.Time) poison.Standing { return poison.Unconfirmed }, Alone: func() bool { return false },
	})
	most := 0
	for i := range 100 {
		var features []ident.Feature
		for k := range 64 {
			features = append(features, ident.Feature{Kind: ident.PartFeature, Value: uint64(1000*i + k)})
		}
		features[0].Value = uint64(i / 6)
		for request := range 8 {
			tracker.Interrupted(&poison.Interruption{
				Upstream: ident.Instance(fmt.Sprint(i)), Software: 1, Request: ident.Request(fmt.Sprint(i, request)), Content: ident.ContentHashOf(ident.OutlineHash(1+8*i+request), 0), Parts: features, Evidence: poison.ProcessEnded,
			})
		}
		now = now.Add(Interval)
		tracker.Refresh(poison.Report{})
		m := message{From: fullReport()}
		m.From.Poison = poison.Report{}
		without, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		m.From.Poison = tracker.Report()
		with, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(with)-len(without))
	}
	if most > maxBytes {
		t.Errorf("%d bytes, at most %d allowed", most, maxBytes)
	}
	t.Logf("at most %d bytes were used", most)
}

// Guards against reports that grow with poison requests: what a gateway reports per round about
// them must stay below 200 bytes, also while many different requests crash upstreams, and take
// no bytes while none does.
func TestCrashesTakeFewBytesOfAReport(t *testing.T) {
	const maxBytes = 200
	now := time.Unix(1_000_000, 0)
	tracker := poison.New(poison.Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(UpstreamKeyOf(id)) },
		Standing: func(ident.Instance, time.Time) poison.Standing { return poison.Unconfirmed }, Alone: func() bool { return false },
	})
	size := func(report poison.Report) int {
		m := message{From: fullReport()}
		m.From.Poison = report
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	without := size(poison.Report{})
	if extra := size(tracker.Report()) - without; extra != 0 {
		t.Errorf("%d bytes while no upstream crashes", extra)
	}
	most := 0
	for i := range 200 {
		for k := range 3 {
			upstream := ident.Instance(fmt.Sprint(i, "/", k))
			for request := range 8 {
				content := ident.ContentHashOf(ident.OutlineHash(1+i*100), 0)
				if request > 0 {
					content = ident.ContentHashOf(ident.OutlineHash(1+i*100+10*k+request), 0)
				}
				tracker.Interrupted(&poison.Interruption{Upstream: upstream, Software: 1, Request: ident.Request(fmt.Sprint(i, k, request)), Content: content, Evidence: poison.ProcessEnded})
			}
		}
		now = now.Add(Interval)
		tracker.Refresh(poison.Report{})
		most = max(most, size(tracker.Report())-without)
	}
	if tracker.Counters().Convicted < 100 {
		t.Fatal("fewer than 100 poison requests were found")
	}
	if most > maxBytes {
		t.Errorf("%d bytes, at most %d allowed", most, maxBytes)
	}
	t.Logf("at most %d bytes were used", most)
}

// Guards against reports that grow with a rollout: what one of many gateways reports per round
// about it must stay below 200 bytes, because each gateway reports it four times a second.
func TestARolloutTakesFewBytesOfAReport(t *testing.T) {
	const maxBytes = 200
	evidence := make(rollout.EvidenceByRoute)
	for route := range 5 {
		key := rollout.KeyOf(string(rune('a' + route)))
		for i := range 40 {
			// Of forty requests of a route three go to the new version.
			side := rollout.Old
			if i < 3 {
				side = rollout.Side(1 + i%2)
			}
			evidence.CountSent(key, side)
			evidence.CountAnswer(key, side, rollout.Answer{Timed: true, Time: 0.5 + float64(i%5)/5})
		}
	}
	states := fullRollouts()
	states[0].Evidence = evidence
	with := message{From: fullReport()}
	with.From.Rollouts = states
	without := message{From: fullReport()}
	without.From.Rollouts = nil
	sizes := make([]int, 2)
	for i, m := range []message{with, without} {
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		sizes[i] = len(data)
	}
	got := sizes[0] - sizes[1]
	t.Logf("%d bytes", got)
	if got > maxBytes {
		t.Errorf("%d bytes, at most %d allowed", got, maxBytes)
	}
}

// Guards against reports that grow with the requests that upstreams break off: what a gateway reports per round about
// them must stay below a twentieth of what a node may spend on control, 24 KB/s, however many are open.
func TestOpenEndsTakeFewBytesOfAReport(t *testing.T) {
	const maxBytes = 24_000 / 4 / 20
	now := time.Unix(1_000_000, 0)
	tracker := poison.New(poison.Config{
		Now: func() time.Time { return now }, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(UpstreamKeyOf(id)) },
		Standing: func(ident.Instance, time.Time) poison.Standing { return poison.Unconfirmed }, Alone: func() bool { return false },
	})
	size := func(report poison.Report) int {
		m := message{From: fullReport()}
		m.From.Poison = report
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	without, most := size(poison.Report{}), 0
	for i := range 500 {
		tracker.Interrupted(&poison.Interruption{
			Upstream: ident.Instance(fmt.Sprint(i % 50)), Software: 1, Request: ident.Request(fmt.Sprint(i)), Content: ident.ContentHashOf(ident.OutlineHash(1+i%100), 0),
			Parts: []ident.Feature{{Kind: ident.PartFeature, Value: uint64(i)}, {Kind: ident.PartFeature, Value: 7}}, Evidence: poison.BrokenOff,
		})
		if i%20 == 0 {
			now = now.Add(Interval)
			tracker.Refresh(poison.Report{})
			most = max(most, size(tracker.Report())-without)
		}
	}
	if most > maxBytes {
		t.Errorf("%d bytes, at most %d allowed", most, maxBytes)
	}
	t.Logf("at most %d bytes were used", most)
}

// Guards against what another writer left in the store's topic of poison requests: it must not end the process that reads
// it, nor be used with impossible values.
func FuzzDecodePoison(f *testing.F) {
	data, err := EncodePoison(poison.Report{Crashes: []poison.Crash{{Upstream: 1, Age: time.Second, Marks: []ident.Mark{{Feature: ident.Feature{Kind: ident.PartFeature, Value: 7}, Tag: 1}}}}}, time.Unix(1, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		report, _, err := DecodePoison(data)
		if err != nil {
			return
		}
		for _, c := range append(report.Crashes, report.Doubts...) {
			if c.Age < 0 {
				t.Errorf("an age of %v", c.Age)
			}
		}
	})
}

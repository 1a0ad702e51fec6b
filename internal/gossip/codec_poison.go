package gossip

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
)

func poisonToProto(report poison.Report) *exchangev1.Poison {
	if report.Empty() {
		return nil
	}
	out := &exchangev1.Poison{}
	out.Crashes, out.Doubts = crashesToProto(report.Crashes), crashesToProto(report.Doubts)
	for _, v := range report.Verdicts {
		verdict := &exchangev1.Verdict{
			AgeMs: millis(min(v.Age, maxAge)), IdleMs: millis(min(v.Idle, maxAge)), Cleared: v.Ruling == poison.Cleared, Served: v.Ruling == poison.Served,
		}
		if v.Feature.Kind == ident.ContentFeature {
			verdict.Content = v.Feature.Value
			out.Verdicts = append(out.Verdicts, verdict)
			continue
		}
		verdict.Part, verdict.Software = v.Feature.Value, uint32(v.Software)
		for _, f := range v.With {
			verdict.WithParts = append(verdict.WithParts, f.Value)
		}
		out.PartVerdicts = append(out.PartVerdicts, verdict)
	}
	return out
}

// EncodePoison encodes a report that was made at a true time, for the platform's store.
func EncodePoison(report poison.Report, at time.Time) ([]byte, error) {
	data, err := proto.Marshal(&exchangev1.StoredPoison{WrittenMs: at.UnixMilli(), Poison: poisonToProto(report)})
	return data, errors.Wrap(err, "encode poison requests")
}

// DecodePoison decodes a report from the platform's store, and returns the true time at which it was made.
func DecodePoison(data []byte) (poison.Report, time.Time, error) {
	var stored exchangev1.StoredPoison
	if err := proto.Unmarshal(data, &stored); err != nil {
		return poison.Report{}, time.Time{}, errors.Wrap(err, "decode poison requests")
	}
	c := checker{}
	report := c.poison(stored.Poison)
	return report, time.UnixMilli(stored.WrittenMs), c.err
}

func crashesToProto(list []poison.Crash) []*exchangev1.Crash {
	var out []*exchangev1.Crash
	for i := range list {
		c := &list[i]
		crash := &exchangev1.Crash{Upstream: c.Upstream, AgeMs: millis(min(c.Age, maxAge))}
		addMarks(crash, c.Marks)
		if len(crash.Parts) > 0 {
			crash.Software = uint32(c.Software)
		}
		out = append(out, crash)
	}
	return out
}

// addMarks adds marks to a message. Those of prompt parts have fields of their own, because an older
// build would take them for contents.
func addMarks(to *exchangev1.Crash, marks []ident.Mark) {
	for _, mark := range marks {
		if mark.Feature.Kind == ident.ContentFeature {
			to.Marks = append(to.Marks, ident.PackContentMark(mark))
			continue
		}
		to.Parts = append(to.Parts, mark.Feature.Value)
		to.PartTags = append(to.PartTags, mark.Tag)
	}
}

func (c *checker) poison(in *exchangev1.Poison) poison.Report {
	if in == nil {
		return poison.Report{}
	}
	c.checkCount("crashes of upstreams", len(in.Crashes)+len(in.Doubts))
	c.checkCount("verdicts", len(in.Verdicts)+len(in.PartVerdicts))
	var out poison.Report
	out.Crashes, out.Doubts = c.crashes(in.Crashes), c.crashes(in.Doubts)
	for _, each := range in.Verdicts {
		out.Verdicts = append(out.Verdicts, c.verdict(each, ident.Feature{Kind: ident.ContentFeature, Value: each.Content}))
	}
	for _, each := range in.PartVerdicts {
		out.Verdicts = append(out.Verdicts, c.verdict(each, ident.Feature{Kind: ident.PartFeature, Value: each.Part}))
	}
	return out
}

func (c *checker) crashes(in []*exchangev1.Crash) []poison.Crash {
	var out []poison.Crash
	for _, each := range in {
		out = append(out, poison.Crash{Upstream: each.Upstream, Software: poison.Software(each.Software), Age: c.age(each.AgeMs), Marks: c.marks(each)})
	}
	return out
}

func (c *checker) verdict(in *exchangev1.Verdict, f ident.Feature) poison.Verdict {
	c.checkCount("parts of a verdict", len(in.WithParts))
	if !f.Valid() {
		c.fail("verdict on %s is not valid", f)
	}
	out := poison.Verdict{Feature: f, Ruling: rulingOf(in), Software: poison.Software(in.Software), Age: c.age(in.AgeMs), Idle: c.age(in.IdleMs)}
	for _, part := range in.WithParts {
		out.With = append(out.With, ident.Feature{Kind: ident.PartFeature, Value: part})
	}
	return out
}

func rulingOf(in *exchangev1.Verdict) poison.Ruling {
	switch {
	case in.Cleared:
		return poison.Cleared
	case in.Served:
		return poison.Served
	}
	return poison.Convicted
}

func (c *checker) marks(in *exchangev1.Crash) []ident.Mark {
	c.checkCount("marks", len(in.Marks)+len(in.Parts))
	var out []ident.Mark
	for _, each := range in.Marks {
		mark := ident.UnpackContentMark(each)
		if !mark.Feature.Valid() {
			c.fail("mark %d of a crash has no content", each)
		}
		out = append(out, mark)
	}
	if len(in.Parts) != len(in.PartTags) {
		c.fail("a crash has %d parts and %d tags", len(in.Parts), len(in.PartTags))
		return out
	}
	for i, part := range in.Parts {
		out = append(out, ident.Mark{Feature: ident.Feature{Kind: ident.PartFeature, Value: part}, Tag: in.PartTags[i]})
	}
	return out
}

package gossip

import (
	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
)

func poisonToProto(report poison.Report) *exchangev1.Poison {
	if report.Empty() {
		return nil
	}
	out := &exchangev1.Poison{}
	for i := range report.Crashes {
		c := &report.Crashes[i]
		out.Crashes = append(out.Crashes, &exchangev1.Crash{
			Upstream: c.Upstream, AgeMs: millis(min(c.Age, maxAge)), Marks: marksToProto(c.Marks),
		})
	}
	for _, v := range report.Verdicts {
		out.Verdicts = append(out.Verdicts, &exchangev1.Verdict{
			Content: uint64(v.Content), AgeMs: millis(min(v.Age, maxAge)), IdleMs: millis(min(v.Idle, maxAge)), Cleared: v.Cleared,
		})
	}
	return out
}

func marksToProto(marks []ident.Mark) []uint64 {
	out := make([]uint64, len(marks))
	for i, mark := range marks {
		out[i] = uint64(mark)
	}
	return out
}

func (c *checker) poison(in *exchangev1.Poison) poison.Report {
	if in == nil {
		return poison.Report{}
	}
	c.checkCount("crashes of upstreams", len(in.Crashes))
	c.checkCount("verdicts", len(in.Verdicts))
	var out poison.Report
	for _, each := range in.Crashes {
		out.Crashes = append(out.Crashes, poison.Crash{
			Upstream: each.Upstream, Age: c.age(each.AgeMs), Marks: c.marks(each.Marks),
		})
	}
	for _, each := range in.Verdicts {
		if ident.Mark(each.Content).Content() == 0 {
			c.fail("verdict on content %d is not valid", each.Content)
		}
		out.Verdicts = append(out.Verdicts, poison.Verdict{
			Content: ident.ContentHash(each.Content), Age: c.age(each.AgeMs), Idle: c.age(each.IdleMs), Cleared: each.Cleared,
		})
	}
	return out
}

func (c *checker) marks(in []uint64) []ident.Mark {
	c.checkCount("marks", len(in))
	var out []ident.Mark
	for _, each := range in {
		mark := ident.Mark(each)
		if mark.Content() == 0 {
			c.fail("mark %d of a crash has no content", each)
		}
		out = append(out, mark)
	}
	return out
}

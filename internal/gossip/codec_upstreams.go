package gossip

import (
	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

func updateToProto(update *directory.Update) *exchangev1.News {
	if update == nil {
		return nil
	}
	era, offset, _ := update.UpTo.Parts()
	out := &exchangev1.News{Era: uint64(era), UpTo: offset, Complete: update.Complete}
	if !update.Through.IsZero() {
		out.ThroughErasBehind, out.ThroughOffset = positionToProto(era, update.Through)
	}
	for i := range update.Records {
		r := &update.Records[i]
		each := &exchangev1.EntryRecord{
			Name: string(r.Name), Kept: r.At.IsKept(), UsableMs: millis(r.UsableFor), Upstream: upstreamToProto(r.Upstream), Copied: upstreamToProto(r.Copied),
		}
		each.ErasBehind, each.Offset = positionToProto(era, r.At)
		out.Records = append(out.Records, each)
	}
	return out
}

func upstreamToProto(u *directory.Upstream) *exchangev1.Upstream {
	if u == nil {
		return nil
	}
	return &exchangev1.Upstream{
		Id: string(u.ID), Name: string(u.Name), BornMs: u.Born, Service: string(u.Service), Address: u.Address,
		FailureDomain: string(u.FailureDomain), Slots: uint32(max(0, u.Slots)), Leaving: u.State == directory.Leaving,
		Reclaimable: u.Reclaimable, LeavesInMs: millis(u.LeavesIn), SoftwareVersion: string(u.SoftwareVersion), ColdMs: millis(u.ColdFor),
	}
}

func (c *checker) update(in *exchangev1.News) *directory.Update {
	if in == nil {
		return nil
	}
	c.checkCount("entries", len(in.Records))
	update := &directory.Update{UpTo: c.position(in.Era, 0, in.UpTo, false), Complete: in.Complete}
	if in.ThroughErasBehind > 0 {
		update.Through = c.position(in.Era, in.ThroughErasBehind, in.ThroughOffset, false)
	}
	for _, r := range in.Records {
		record := directory.Record{Name: ident.Instance(r.Name), At: c.position(in.Era, r.ErasBehind, r.Offset, r.Kept), UsableFor: c.age(r.UsableMs), Upstream: c.upstream(r.Upstream), Copied: c.upstream(r.Copied)}
		if r.Name == "" {
			c.fail("upstream entry at %v has no name", record.At)
		}
		update.Records = append(update.Records, record)
	}
	return update
}

func (c *checker) upstream(u *exchangev1.Upstream) *directory.Upstream {
	if u == nil {
		return nil
	}
	if u.Id == "" || u.Address == "" || u.Service == "" || u.Slots > maxRunning {
		c.fail("upstream entry is not valid: id %q, address %q, service %q, %d slots", u.Id, u.Address, u.Service, u.Slots)
	}
	state := directory.Ready
	if u.Leaving {
		state = directory.Leaving
	}
	return &directory.Upstream{
		ID: ident.Instance(u.Id), Name: ident.Instance(u.Name), Born: u.BornMs, Service: ident.Service(u.Service), Address: u.Address,
		FailureDomain: ident.FailureDomain(u.FailureDomain), Slots: int(u.Slots), State: state, Reclaimable: u.Reclaimable, LeavesIn: c.age(u.LeavesInMs),
		SoftwareVersion: ident.SoftwareVersion(u.SoftwareVersion), ColdFor: c.age(u.ColdMs),
	}
}

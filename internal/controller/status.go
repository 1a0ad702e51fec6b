package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
)

// leaseStatus is one lease as this process knows it.
type leaseStatus struct {
	Lease  lease.Name     `json:"lease"`
	Holder ident.Instance `json:"holder,omitempty"`
	Fence  ident.Fence    `json:"fence,omitempty"`
	// Held is whether this process may act under the lease now.
	Held bool `json:"held"`
	// RemainingMS is for how many milliseconds, unless it is renewed.
	RemainingMS int64 `json:"remaining_ms,omitempty"`
}

// serveStatus answers with the leases. The holders may be missing, since a
// process that is no candidate does not read them.
func (p *Process) serveStatus(w http.ResponseWriter, _ *http.Request) {
	statuses := []leaseStatus{}
	for _, name := range leaseNames(p.documents.Value(), p.listing.Value().Instances) {
		statuses = append(statuses, p.statusOf(name))
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone, so it can't be reported to it.
	_ = json.NewEncoder(w).Encode(statuses)
}

func (p *Process) statusOf(name lease.Name) leaseStatus {
	status := leaseStatus{Lease: name}
	if entry, known := p.leases.Find(name); known && !entry.Released() {
		status.Holder, status.Fence = entry.Record.Holder.Instance, entry.Fence
	}
	if grant, held := p.leases.Grant(name); held {
		status.Held = true
		status.RemainingMS = int64(grant.Remaining() / time.Millisecond)
	}
	return status
}

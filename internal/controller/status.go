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
	// Held: this process may act under it now.
	Held bool `json:"held"`
	// RemainingMS is for how long, if nothing renews it.
	RemainingMS int64 `json:"remaining_ms,omitempty"`
}

// serveStatus answers with the leases. A process that is no candidate reads
// none, so their holders may be missing.
func (p *Process) serveStatus(w http.ResponseWriter, _ *http.Request) {
	statuses := []leaseStatus{}
	for _, name := range leaseNames(p.documents.Value(), p.listing.Value().Instances) {
		statuses = append(statuses, p.statusOf(name))
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may be gone; there is nobody left to tell.
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

// Package report is what a gateway tells its operators as JSON: the contract
// between its operators' address and spoolctl. What /explain answers is in
// package explain.
package report

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The paths on the operators' address.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain"
	// RequestParameter names the request on ExplainPath.
	RequestParameter = "request_id"
)

// Status is what an operator sees of a gateway.
type Status struct {
	Instance      ident.Instance      `json:"instance"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Ready         bool                `json:"ready"`
	// NotReady says why Ready is false.
	NotReady string `json:"not_ready,omitempty"`
	Stopping bool   `json:"stopping"`
	// Revision of the configuration in force.
	Revision ident.Revision `json:"revision"`
	// Services with the revision of each one's document.
	Services map[ident.Service]ident.Revision `json:"services"`
	// Problem of the configuration, such as a record that is not understood.
	Problem      string   `json:"problem,omitempty"`
	LogReachable bool     `json:"log_reachable"`
	JournalReady bool     `json:"journal_ready"`
	Members      []Member `json:"members"`
}

// Member is one instance as the gateway sees it.
type Member struct {
	ID            ident.Instance      `json:"id"`
	Role          string              `json:"role"`
	Service       ident.Service       `json:"service,omitempty"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	State         string              `json:"state"`
	Since         time.Time           `json:"since"`
}

// Problem is the answer to a question that cannot be answered.
type Problem struct {
	Error string `json:"error"`
}

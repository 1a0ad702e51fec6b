// Package operatorapi defines the JSON that a gateway serves on its operators' address and
// spoolctl reads. The answer of ExplainPath is in package explain.
package operatorapi

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The paths on the operators' address.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain"
	// RequestParameter is the query parameter of ExplainPath with the request's ID.
	RequestParameter = "request_id"
)

// Status is the answer of StatusPath: a gateway's state.
type Status struct {
	Instance      ident.Instance      `json:"instance"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Ready         bool                `json:"ready"`
	// NotReady is the reason why Ready is false, and empty otherwise.
	NotReady string `json:"not_ready,omitempty"`
	Stopping bool   `json:"stopping"`
	// Revision is the revision of the configuration in force.
	Revision ident.Revision `json:"revision"`
	// Services has the revision of each service's document.
	Services map[ident.Service]ident.Revision `json:"services"`
	// Problem tells what is wrong with the configuration, for example a record that
	// this version cannot read. Empty means nothing.
	Problem      string   `json:"problem,omitempty"`
	LogReachable bool     `json:"log_reachable"`
	JournalReady bool     `json:"journal_ready"`
	Members      []Member `json:"members"`
}

// Member is one instance as the gateway knows it.
type Member struct {
	ID            ident.Instance      `json:"id"`
	Role          string              `json:"role"`
	Service       ident.Service       `json:"service,omitempty"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	State         string              `json:"state"`
	// Since is when the gateway learned of the state.
	Since time.Time `json:"since"`
}

// ErrorResponse is the answer to a request that fails.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Package report is what a process tells its operators as JSON: the contract
// between the operators' address of a gateway or controller and spoolctl.
package report

import "time"

// The paths on the operators' address.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain"
	// RequestParameter names the request on ExplainPath.
	RequestParameter = "request_id"
)

// Status is how a process sees itself and the others.
type Status struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	// Reason says why the process is not ready.
	Reason string `json:"reason,omitempty"`
	// Revision of the configuration in force.
	Revision uint64 `json:"revision"`
	// LogReachable: the platform's log answered the last read.
	LogReachable bool `json:"log_reachable"`
	// Problem is what of the configuration cannot be followed.
	Problem  string    `json:"problem,omitempty"`
	Stopping bool      `json:"stopping,omitempty"`
	Services []Service `json:"services"`
	Members  []Member  `json:"members"`
}

// Service is a document in force.
type Service struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Revision uint64 `json:"revision"`
}

// Member is another instance as the process knows it.
type Member struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
}

// Explanation tells why a request went where it went.
type Explanation struct {
	RequestID string    `json:"request_id"`
	Service   string    `json:"service"`
	Attempts  []Attempt `json:"attempts"`
	// Outcome is empty while the request is in progress.
	Outcome string `json:"outcome,omitempty"`
}

// Attempt is one try at one upstream.
type Attempt struct {
	// Upstream is empty when none could serve the request.
	Upstream string   `json:"upstream,omitempty"`
	Reasons  []Reason `json:"reasons"`
	// The times to the first token in nanoseconds; 0 is unknown.
	PredictedFirstToken time.Duration `json:"predicted_first_token_ns,omitempty"`
	ActualFirstToken    time.Duration `json:"actual_first_token_ns,omitempty"`
}

// Reason is one step of a decision.
type Reason struct {
	// Upstream is empty for a reason that is about the request.
	Upstream string `json:"upstream,omitempty"`
	Rule     string `json:"rule"`
	Detail   string `json:"detail,omitempty"`
}

// Package routing decides which upstream serves a request. Decisions are
// pure: they depend on their arguments alone, and they say their reasons.
package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Request is what routing needs to know of a request.
type Request struct {
	Service ident.Service
	Account ident.ClientAccount
	// Class is the zero value for plain services.
	Class document.Class
	// Blocks are the prefix blocks of the prompt; see package prompt.
	Blocks       []uint64
	PromptTokens int
	MaxTokens    int
	// FailureDomain of the deciding gateway.
	FailureDomain ident.FailureDomain
	// Exclude are upstreams that already failed this request.
	Exclude []ident.Instance
}

// Rule names a reason for a decision.
type Rule string

// Reason is one step of a decision, for `spoolctl explain`.
type Reason struct {
	Upstream ident.Instance
	Rule     Rule
	Detail   string
}

// Decision is where a request goes.
type Decision struct {
	// Upstream is empty when no upstream can serve the request.
	Upstream ident.Instance
	Address  string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Reasons are filled only when asked for, since they allocate.
	Reasons []Reason
}

// Package routing decides which upstream serves a request.
//
// A Router belongs to one service at one gateway. Decide depends only on its
// arguments and on what this gateway itself sent, which the Router knows from
// Started, FirstToken and Finished. It takes no lock, waits for nothing and,
// unless reasons are asked for, does not allocate once a view is known.
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
	Blocks []uint64
	// PromptTokens counts the prompt and, when a stream resumes, the tokens
	// already delivered.
	PromptTokens int
	// MaxTokens is how many tokens are still to be generated.
	MaxTokens int
	// FailureDomain of the deciding gateway.
	FailureDomain ident.FailureDomain
	// Exclude are upstreams that must not be chosen: they failed this request,
	// or are ejected.
	Exclude []ident.Instance
	// Explain asks for Decision.Reasons.
	Explain bool
}

// Rule names a reason for a decision.
type Rule string

// The rules.
const (
	// RuleExcluded: the request excludes the upstream.
	RuleExcluded Rule = "excluded"
	// RuleLeaving: the upstream is leaving or gone.
	RuleLeaving Rule = "leaving"
	// RuleSuspect: the upstream is suspect and others are not.
	RuleSuspect Rule = "suspect"
	// RuleScored: the upstream could serve the request at this score.
	RuleScored Rule = "scored"
	// RuleChosen: the upstream serves the request.
	RuleChosen Rule = "chosen"
)

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
	// FirstTokenBy is when four of five such first tokens have come, by how
	// earlier predictions came out.
	FirstTokenBy time.Duration
	// BetweenTokens is the predicted time between two tokens.
	BetweenTokens time.Duration
	// UncachedTokens is how much of the prompt is believed to need prefill.
	UncachedTokens int
	// Unloaded is the predicted time to the first token if the upstream were
	// idle.
	Unloaded time.Duration
	// Work is the engine time that the request takes, in seconds.
	Work float64
	// Reasons are filled only when asked for, since they allocate.
	Reasons []Reason

	local    *localState
	observer placementObserver
}

// Found reports whether the decision names an upstream.
func (d Decision) Found() bool { return d.Upstream != "" }

// Result says how an attempt at an upstream ended.
type Result int

// The results.
const (
	// ResultDone: the whole answer came.
	ResultDone Result = 1
	// ResultRefused: the upstream ran nothing.
	ResultRefused Result = 2
	// ResultFailed: the attempt broke off, or its connection did.
	ResultFailed Result = 3
	// ResultCancelled: the caller or the gateway gave up; says nothing about
	// the upstream.
	ResultCancelled Result = 4
)

// Package routing decides which upstream serves a request.
//
// A Router belongs to one service at one gateway. Decide depends only on its
// arguments and on what this gateway itself sent, which the Router knows from
// Started, FirstToken and Finished. Decide takes no lock and never blocks. It
// allocates only for the first decision on a new view, and for reasons if the
// request asks for them.
package routing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Request describes a request to the router.
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
	// FailureDomain is that of the deciding gateway.
	FailureDomain ident.FailureDomain
	// Exclude lists upstreams that must not be chosen, because they failed this
	// request or are ejected.
	Exclude []ident.Instance
	// Explain makes the decision fill in Decision.Reasons.
	Explain bool
}

// Rule names why an upstream was chosen or passed over.
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

// Reason says how one rule applied to one upstream. `spoolctl explain` prints
// it.
type Reason struct {
	Upstream ident.Instance
	Rule     Rule
	Detail   string
}

// Decision says which upstream a request is sent to and what is predicted there.
type Decision struct {
	// Upstream is empty when no upstream can serve the request.
	Upstream ident.Instance
	Address  string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// FirstTokenBy is the time within which four of five first tokens with this
	// prediction arrive, judging by the errors of earlier predictions.
	FirstTokenBy time.Duration
	// BetweenTokens is the predicted time between two tokens.
	BetweenTokens time.Duration
	// UncachedTokens estimates how many tokens of the prompt need prefill.
	UncachedTokens int
	// Unloaded is the predicted time to the first token if the upstream were
	// idle.
	Unloaded time.Duration
	// EngineSeconds is the predicted engine time of the request, in seconds.
	EngineSeconds float64
	// Reasons is filled only if Request.Explain is set, because it allocates.
	Reasons []Reason

	local    *localState
	observer placementObserver
}

// Found reports whether the decision names an upstream.
func (d Decision) Found() bool { return d.Upstream != "" }

// Result is how an attempt at an upstream ended.
type Result int

// The results.
const (
	// ResultDone: the whole answer arrived.
	ResultDone Result = 1
	// ResultRefused: the upstream ran nothing.
	ResultRefused Result = 2
	// ResultFailed: the attempt or its connection broke off.
	ResultFailed Result = 3
	// ResultCancelled: the caller or the gateway cancelled the attempt, which
	// says nothing about the upstream.
	ResultCancelled Result = 4
)

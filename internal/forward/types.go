package forward

import (
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is one request of a caller, checked and ready to be sent.
type Call struct {
	ID      ident.Request
	Route   *routetable.Route
	Service *routetable.Service
	Account ident.ClientAccount
	// Priority is the rank that counts, 0 first.
	Priority int

	Method string
	URI    string
	Host   string
	// Header is what the caller sent and may be passed on.
	Header http.Header
	Body   []byte

	// Parts of the prompt in order; the last belongs to this request alone.
	Parts []PromptPart
	// PromptTokens and MostTokens are the prompt's size and the bound of the
	// answer's; 0 if not declared.
	PromptTokens, MostTokens int
	// LastEvent is after which event the caller wants to resume; empty for
	// none.
	LastEvent string

	Received time.Time
	// Expires is when the route's timeout or the caller's deadline is reached,
	// whichever comes first.
	Expires time.Time

	// outline and content are worked out on demand, see there; 0 until then.
	outline ident.Outline
	content ident.Content
}

// Remaining is the time left at an instant.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Expires.Sub(now) }

// Attempt says how a call is sent to one upstream.
type Attempt struct {
	// Upstream is the name that the upstream answers to.
	Upstream ident.Instance
	// Left is the time that the upstream may take.
	Left time.Duration
	// LastEvent is after which event the answer shall go on; empty for all.
	LastEvent string
}

// Reading is what an answer's header says.
type Reading struct {
	// NotRun: the upstream did not run the request and never will.
	NotRun bool
	// Genuine: the answer carries the upstream's signature.
	Genuine bool
	// Stream: the body is events.
	Stream bool
	// Other: another upstream than the one that was asked for answered.
	Other bool
	// Limit is what the answer says of the rate that its upstream takes.
	Limit upstreamlimit.Statement
}

// Dialect writes requests and reads answers in the upstreams' protocol.
type Dialect interface {
	// Request returns what to send for an attempt.
	Request(call *Call, attempt Attempt) *httpconn.Request
	// Read says what an answer's header means.
	Read(status int, header http.Header) Reading
}

// Choice is an upstream that was chosen, with the place taken there.
type Choice struct {
	// Upstream is the ID of the upstream's life, and Name what it answers to.
	Upstream, Name ident.Instance
	Address        string
	MaxConnections int
	// Slow is after how long without an answer, or a first event, the
	// upstream is slower than nearly all attempts are.
	Slow time.Duration
	// Why names what decided, for the log.
	Why string
	// AtLimit are the upstreams that would have been better but for the limits which they
	// named. OnlyLimits: there is no upstream, and nothing but limits is in the way.
	AtLimit    []ident.Instance
	OnlyLimits bool
	// Place must be given back with Placement.Finished.
	Place any
}

// Placement chooses upstreams and learns how they do.
type Placement interface {
	// Choose takes a place at an upstream, or says that there is none.
	Choose(call *Call, exclude []ident.Instance, now time.Time) (Choice, bool)
	// Began notes that a valid answer, or a stream's first event, came.
	Began(choice Choice, now time.Time)
	// Ended notes that the upstream's process ended under the request, which says nothing
	// of how it serves others. It reports whether that was unexpected. Finished follows.
	Ended(choice Choice) bool
	// Finished gives the place back.
	Finished(choice Choice, result Result, now time.Time)
}

// Guard keeps requests from upstreams that end those which run them.
type Guard interface {
	Knowing
	// Admit decides about a request that has waited for so long to be sent.
	Admit(content ident.Content, waited time.Duration) poison.Decision
	// Started notes that a request was sent; call ended when it has ended there.
	Started(upstream ident.Instance, content ident.Content) (ended func())
	// Crashed notes that an upstream ended under a request.
	Crashed(upstream ident.Instance, mark ident.Mark)
	// Resend reports whether a request that an end broke off may go to another upstream.
	Resend(content ident.Content) bool
	// Completed notes that a request was answered whole.
	Completed(content ident.Content)
}

// Limits are the rates that upstreams name in their answers.
type Limits interface {
	// Hear takes in what an answer of an upstream to a request says.
	Hear(upstream ident.Instance, id ident.Request, s upstreamlimit.Statement)
}

// Budget bounds what arrives at a service beyond the first attempts, over all
// gateways together.
type Budget interface {
	FirstTry(service ident.Service, now time.Time)
	Spend(service ident.Service, now time.Time) bool
}

// Meter counts the requests that began to run.
type Meter interface {
	Began(account ident.ClientAccount)
}

// Caller takes the answer. Its methods are called one after the other.
type Caller interface {
	// Answer delivers a whole answer.
	Answer(status int, header http.Header, body []byte)
	// Begin starts an answer that comes in parts.
	Begin(status int, header http.Header)
	// Part delivers the next part; an error means that the caller left.
	Part(data []byte) error
	// End ends an answer that came in parts as complete.
	End()
	// Break ends an answer that came in parts so that it looks cut off.
	Break()
	// Refuse says that the request did not run, and when to come back.
	Refuse(reason string, after time.Duration)
	// Fail says that the request may have run.
	Fail(reason string)
	// TimeOut says that the request's time is over; it may have run.
	TimeOut()
}

// Outcome is what became of a call, for the log and the metrics.
type Outcome struct {
	Step     Step
	Reason   string
	Status   int
	Attempts int
	Tried    []ident.Instance
	Resumed  int
	// FirstPart is the time to the answer, or to a stream's first event; 0 if
	// there was none.
	FirstPart time.Duration
	Events    int
	// LongestPause is the longest time between two events of a stream that came apart.
	LongestPause time.Duration
	// AtLimit are the upstreams that were passed over for the limits which they named.
	AtLimit []ident.Instance
}

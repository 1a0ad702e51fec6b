package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// PromptPart is a part of a prompt, which other requests may have in common with it.
type PromptPart struct {
	// ID is the same for the same part of any request.
	ID     uint64
	Tokens int
}

// Call is one request of a caller, checked and ready to be sent. It is not safe for
// concurrent use.
type Call struct {
	ID      ident.Request
	Route   *routetable.Route
	Service *routetable.Service
	// Services are those at which a stream may have begun that the call goes on with; Service is one of
	// them. They are set only if TakesUp.
	Services []*routetable.Service
	Account  ident.ClientAccount
	// Key is the key with which the caller authenticated; empty if it named none.
	Key string
	// Priority is the account's priority, or the route's where the account has none;
	// 0 is served first.
	Priority int

	Method string
	URI    string
	Host   string
	// Header holds the caller's headers that may be passed on to an upstream.
	Header http.Header
	Body   []byte

	// Parts lists the prompt's parts in order; the last belongs to this request alone.
	Parts []PromptPart
	// PromptTokens is the prompt's size, and MaxTokens the largest size of the answer;
	// both are 0 if the caller did not declare them.
	PromptTokens, MaxTokens int
	// LastEventID is the ID of the event after which the caller wants its stream to
	// resume; empty for the whole stream.
	LastEventID string
	// Resumes is the caller's attempt that brought the first event of the stream that this call goes on
	// with; empty if the caller names none.
	Resumes ident.Request
	// Origin is the software that made the events that the caller holds of this stream; nil if it holds
	// none.
	Origin *origin.Origin

	// Received is when the gateway received the request.
	Received time.Time
	// Expires is when the route's timeout or the caller's deadline ends,
	// whichever is earlier.
	Expires time.Time

	// outline, content and parts cache the results of Outline, Content and partFeatures; zero until
	// computed.
	outline ident.OutlineHash
	content ident.ContentHash
	parts   []ident.Feature
}

// Remaining returns the time from now until the call expires; it is negative afterwards.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Expires.Sub(now) }

// TakesUp reports whether the call goes on with a stream that an earlier attempt of the caller began. The
// route must be set, unless none was found.
func (c *Call) TakesUp() bool {
	return c.Route != nil && c.Route.Resumable && (c.Resumes != "" || c.LastEventID != "")
}

// FitsSoftware reports whether an upstream of the call's service with a software version may add events
// to those that the caller holds.
func (c *Call) FitsSoftware(v ident.SoftwareVersion) bool {
	return c.Origin == nil || *c.Origin == origin.Origin{Service: c.Service.Name, SoftwareVersion: v}
}

// Attempt says how a call is sent to one upstream.
type Attempt struct {
	// Upstream is the name that the upstream answers to.
	Upstream ident.Instance
	// TimeLeft is how long the upstream may take.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which the stream resumes; empty for the
	// whole stream.
	LastEventID string
}

// AnswerInfo is what the status and header of an upstream's answer mean.
type AnswerInfo struct {
	// NotRun: the upstream did not run the request and never will.
	NotRun bool
	// SaysNotRun: the status tells callers that the request did not run and never will.
	SaysNotRun bool
	// Signed: the answer carries the upstream's signature.
	Signed bool
	// Stream: the body is a stream of server-sent events.
	Stream bool
	// FromOtherUpstream: the answer came from another upstream than the request was meant for.
	FromOtherUpstream bool
	// Announced is what the answer announces about its upstream.
	Announced announced.Statement
}

// Dialect writes requests and interprets answers in the upstreams' protocol.
type Dialect interface {
	// Request returns the HTTP request to send for an attempt.
	Request(call *Call, attempt Attempt) *httpconn.Request
	// ParseAnswer interprets the status and header of an answer.
	ParseAnswer(status int, header http.Header) AnswerInfo
	// RemoveAnnouncements removes from an answer's header what its upstream announces to
	// gateways alone.
	RemoveAnnouncements(header http.Header)
	// ParseFields interprets fields of an upstream that are not the header of an answer: a
	// trailer, or the header of an interim answer or of one to another request.
	ParseFields(fields http.Header) announced.Statement
}

// Exchange is one request to an upstream.
type Exchange struct {
	*httpconn.Request
	ID ident.Request
	// TimeLeft is how much longer the caller waits.
	TimeLeft time.Duration
	// SuspectAfter is how long an answer is awaited before the path to the upstream is checked.
	SuspectAfter time.Duration
}

// Network sends requests to upstreams, over whichever path reaches them. It is safe for concurrent
// use.
type Network interface {
	// Send sends a request at most once and returns when the answer's header was received, like
	// httpconn.Pool.Send.
	Send(ctx context.Context, target httpconn.Target, e Exchange) (*httpconn.Answer, *httpconn.Failure)
	// Refuses reports whether new connections to an upstream are refused, as after the end of its
	// process. inDoubt: nothing has failed yet.
	Refuses(ctx context.Context, target httpconn.Target, inDoubt bool) bool
	// CloseIdle closes the kept connections to an upstream on which another one went silent.
	CloseIdle(upstream ident.Instance)
	// Lost reports whether this gateway's own path to an upstream is lost.
	Lost(upstream ident.Instance) bool
}

// Choice is the upstream chosen for an attempt, with the slot reserved there.
type Choice struct {
	// Upstream identifies one incarnation of the upstream; Name is the name that the
	// upstream answers to.
	Upstream, Name ident.Instance
	Address        string
	// SoftwareVersion is what the upstream's entry said when it was chosen.
	SoftwareVersion ident.SoftwareVersion
	// MaxConnections is how many connections this gateway may open to the upstream.
	MaxConnections int
	// SilenceTimeout is the time within which nearly all attempts receive an answer, or a
	// stream's first event; 0 or less if unknown. An attempt that is silent for longer is
	// taken for stuck.
	SilenceTimeout time.Duration
	// Why names the reason of the choice, for the log.
	Why string
	// AtLimit lists the upstreams that were preferable but have reached the rate limit that
	// they announced. It may be set where no upstream was found.
	AtLimit []ident.Instance
	// Paused lists some of the upstreams that were passed over because they had asked this
	// gateway for a pause. It may be set where no upstream was found.
	Paused []ident.Instance
	// PassedOver are the reasons for which upstreams were passed over, if none was found.
	PassedOver []string
	// Blocked is why no upstream was found, if no slot that becomes free would help; zero
	// otherwise. BlockedUntil is when it may end by itself; zero if that is not known.
	Blocked      Block
	BlockedUntil time.Time
	// Late: an upstream that accepts work was passed over because it would probably not serve the call in
	// time. It is set only where no upstream was found.
	Late bool
	// Reservation is the reserved slot, which Placement.Finished releases.
	Reservation any
	// Held is what Places keeps of the call until Placement.Finished; nil if it keeps nothing.
	Held any
}

// target returns where the choice's requests are sent.
func (c *Choice) target() httpconn.Target {
	return httpconn.Target{ID: c.Upstream, Address: c.Address, MaxConnections: c.MaxConnections}
}

// BlockedPast reports whether no upstream was found and none will be by waiting until a time.
func (c *Choice) BlockedPast(t time.Time) bool {
	return c.Blocked != 0 && (c.BlockedUntil.IsZero() || c.BlockedUntil.After(t))
}

// Block is why waiting doesn't get a call an upstream: what the upstreams of its service announced, or a
// limit or a change at this gateway.
type Block int

// The blocks.
const (
	// BlockedByLimits: their rate limits admit no more.
	BlockedByLimits Block = iota + 1
	// BlockedByPauses: they asked this gateway for pauses, or some of them did and the limits of
	// the others admit no more.
	BlockedByPauses
	// BlockedByLeaving: they leave.
	BlockedByLeaving
	// BlockedBySoftware: none of them has the software version whose events the caller holds.
	BlockedBySoftware
	// BlockedByQueue: too many calls wait for them, and the call's account has most of these beyond its
	// part.
	BlockedByQueue
	// BlockedByRoute: the route, or its service, was removed from the configuration.
	BlockedByRoute
	// BlockedByKey: the key was removed from the configuration.
	BlockedByKey
)

// blockReasons are the reasons that callers are given.
var blockReasons = map[Block]string{
	BlockedByLimits: "all upstreams are at the limits that they named", BlockedByPauses: "all upstreams asked for a pause", BlockedByLeaving: "all upstreams leave",
	BlockedBySoftware: "no upstream of the software version that began the stream",
	BlockedByQueue:    "too many requests wait for the upstreams",
	BlockedByRoute:    "the route was removed", BlockedByKey: "the key was removed",
}

// String returns the reason that callers are given; empty for no block.
func (b Block) String() string { return blockReasons[b] }

// lasts reports whether sending the call again doesn't help, as far as is known.
func (b Block) lasts() bool {
	return b == BlockedBySoftware || b == BlockedByRoute || b == BlockedByKey
}

// Places finds upstreams for calls. It is safe for concurrent use.
type Places interface {
	// Take reserves a place at an upstream that is not in exclude. While no upstream accepts the call it
	// waits, at most until the call's time is up, ctx ends, or it is known that waiting doesn't help; the
	// choice then says why. It reports whether a place is reserved.
	Take(ctx context.Context, call *Call, exclude []ident.Instance) (Choice, bool)
}

// Placement chooses upstreams and records how attempts at them go. It is safe for
// concurrent use.
type Placement interface {
	// Choose reserves a slot at an upstream that is not in exclude, and reports whether
	// it found one.
	Choose(call *Call, exclude []ident.Instance, now time.Time) (Choice, bool)
	// FirstEventArrived records that a valid answer, or a stream's first event, was received.
	FirstEventArrived(choice Choice, now time.Time)
	// UpstreamEnded records that the upstream's process ended while it had the request, so that
	// the failed attempt says nothing about how the upstream serves other requests. It
	// reports whether the end was unexpected. Finished is called after it.
	UpstreamEnded(choice Choice) bool
	// PathLost records that the path to the upstream is lost, or that this gateway has no room for its answer, so that a
	// failed attempt says nothing about the upstream. Finished is called after it.
	PathLost(choice Choice)
	// Replaced reports whether a later process than the chosen one has taken the upstream's name, so that
	// an answer may come from that.
	Replaced(choice Choice) bool
	// Finished records the result of the attempt and releases its slot.
	Finished(choice Choice, result Result, now time.Time)
}

// Guard keeps poison requests, which crash the upstreams that run them, away from
// upstreams. It is safe for concurrent use.
type Guard interface {
	KnownPoison
	// Admit decides whether a request that has waited for this long is sent, goes on
	// waiting or is barred.
	Admit(features []ident.Feature, waited time.Duration) poison.Decision
	// Started records that a request is sent to an upstream. The caller must call ended
	// when the attempt is over.
	Started(upstream ident.Instance, features []ident.Feature) (ended func())
	// Interrupted records that an attempt ended without a complete answer, because the upstream crashed or may
	// have.
	Interrupted(i *poison.Interruption)
	// Answered records that an upstream answered a request that was sent to it at an instant.
	Answered(upstream ident.Instance, sent time.Time)
	// MayResend reports whether a request that was interrupted may go to another upstream.
	MayResend(features []ident.Feature) bool
	// Completed records that a request with known or suspected features was answered completely.
	Completed(c *poison.Completion)
	// Served records that a request with these prompt parts was answered with a success.
	Served(parts []ident.Feature)
}

// Announcements records what upstreams announce about themselves in their answers.
type Announcements interface {
	// Record records what an upstream announces in an answer to a request, or beside it.
	Record(upstream ident.Instance, id ident.Request, s announced.Statement)
	// Accepts reports whether an upstream takes requests from this gateway, by what it announced.
	Accepts(upstream ident.Instance) bool
}

// Origins knows which software began the streams that callers take up.
type Origins interface {
	// Began records that the events of a stream are given out to its caller. oneService: it can have
	// begun at no other service; within is how long its caller may take it up.
	Began(stream origin.Stream, o origin.Origin, oneService bool, within time.Duration)
	// Find returns which software began a stream. It may wait for other gateways, 0.1 s at most.
	Find(ctx context.Context, q origin.Question) origin.Verdict
}

// Budget bounds the retries that all gateways together send to a service, as a share of
// the first attempts.
type Budget interface {
	// RecordFirstAttempt records the first attempt of a request.
	RecordFirstAttempt(service ident.Service, now time.Time)
	// Spend takes one retry out of the budget, if the budget allows it. It may wait for other gateways.
	Spend(service ident.Service, now time.Time) retry.Decision
}

// Meter counts the requests that began to run, for each account's usage.
type Meter interface {
	// CountStarted counts one request of the account.
	CountStarted(account ident.ClientAccount)
}

// Caller receives the answer. Its methods are never called concurrently.
type Caller interface {
	// Answer delivers a whole answer. It calls progress whenever the caller has taken a part of a long one.
	Answer(status int, header http.Header, body []byte, progress func())
	// Begin starts an answer that is delivered in parts.
	Begin(status int, header http.Header)
	// Part delivers the next part; an error means that the caller has gone.
	Part(data []byte) error
	// End completes an answer that was delivered in parts.
	End()
	// Break cuts off an answer that was delivered in parts, so that the caller sees that
	// it is incomplete.
	Break()
	// Interrupt makes a delivery in progress fail. Unlike the others it may be called concurrently, and it does not block.
	Interrupt()
	// Refuse tells the caller that the request did not run, and after how long to retry.
	Refuse(reason string, after time.Duration)
	// Fail tells the caller that the request failed and may have run.
	Fail(reason string)
	// TimeOut tells the caller that the request's deadline passed; it may have run.
	TimeOut()
}

// AnswerEnd is how the answer to one attempt ended, for the log and the metrics.
type AnswerEnd struct {
	completion.End
	// BytesAfter counts the bytes after a stream's last whole event.
	BytesAfter int
}

// Outcome is how a call ended, for the log and the metrics.
type Outcome struct {
	// Step is the last step.
	Step Step
	// BarredBy are the features because of which the call was barred; nil if it was not.
	BarredBy []ident.Feature
	// Reason is why the call was refused, or why the last failed attempt failed; empty if
	// neither happened.
	Reason string
	// Status is the HTTP status that the caller was sent; 0 if none.
	Status   int
	Attempts int
	// Tried lists the upstreams of all attempts in order.
	Tried []ident.Instance
	// SoftwareVersions are those of the upstreams in Tried.
	SoftwareVersions []ident.SoftwareVersion
	// Resumed counts how often the stream was resumed at another upstream.
	Resumed int
	// FirstPart is the time from receiving the call to the answer, or to a stream's first
	// event; 0 if nothing of an answer was delivered.
	FirstPart time.Duration
	// Events counts the delivered events, and LastEvent is the ID of the last one that has one.
	Events    int
	LastEvent string
	// Ends lists how the answers to the attempts ended, in order.
	Ends []AnswerEnd
	// RelayedBy is the gateway that relayed the last answer; empty if none did.
	RelayedBy ident.Instance
	// LongestPause is the longest time between two consecutive deliveries of events.
	LongestPause time.Duration
	// AtLimit lists the upstreams that were passed over because they had reached the rate
	// limit that they announced, as of the last choice that passed over any.
	AtLimit []ident.Instance
	// Paused lists upstreams that were passed over because they had asked for a pause, as of
	// the last choice that passed over any.
	Paused []ident.Instance
	// PassedOver are the reasons for which upstreams were passed over, as of the last choice that found
	// none.
	PassedOver []string
}

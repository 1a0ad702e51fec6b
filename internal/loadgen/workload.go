// Package loadgen sends an open-loop load to gateways, as callers would, and
// checks every answer against its request.
//
// Open loop means that requests are sent at the times of their arrivals, whether
// or not earlier ones were answered. Latencies are measured from the time at
// which a request was due, so that a slow system cannot hide its own queue.
package loadgen

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
)

// Kind is a kind of request.
type Kind string

// The kinds.
const (
	// Short is a short chat reply, streamed.
	Short Kind = "short"
	// Long is a long review, streamed.
	Long Kind = "long"
	// Booking is a call that may not be repeated.
	Booking Kind = "booking"
)

// Kinds lists the kinds in the order in which results are printed.
var Kinds = []Kind{Short, Long, Booking}

// Account is a client account that sends requests.
type Account struct {
	Name  ident.ClientAccount
	Token string
	// Weight is the account's share of the arrivals, relative to the others.
	Weight float64
}

// Shape is the size of a streamed request.
type Shape struct {
	Class ident.Class
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// SharedTokens is the length of the prefix that the prompts of all requests
	// of an account and kind have in common.
	SharedTokens int
	// MaxTokens is the length of the answer.
	MaxTokens int
}

// Workload describes the requests that are sent.
type Workload struct {
	// ModelService receives short and long requests.
	ModelService ident.Service
	// PlainService receives bookings.
	PlainService  ident.Service
	BookingMethod ident.Method
	Accounts      []Account
	Shapes        map[Kind]Shape
	// Weights are the kinds' shares of the arrivals, relative to each other.
	Weights map[Kind]float64
}

// Arrival is one request and when it is due.
type Arrival struct {
	// At is the time from the start of the run.
	At      time.Duration
	Kind    Kind
	Account Account
	// Number is unique within a run.
	Number int
}

// Poisson returns the arrivals of a Poisson process with a mean of rate a second.
// They are the same for the same seed.
func (w *Workload) Poisson(rate float64, duration time.Duration, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := make([]float64, len(Kinds))
	for i, kind := range Kinds {
		kinds[i] = w.Weights[kind]
	}
	accounts := make([]float64, len(w.Accounts))
	for i, account := range w.Accounts {
		accounts[i] = account.Weight
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At:      at,
			Kind:    Kinds[pickWeighted(random, kinds)],
			Account: w.Accounts[pickWeighted(random, accounts)],
			Number:  len(arrivals),
		})
	}
}

// pickWeighted returns a random index with a probability proportional to its
// weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	left := random.Float64() * total
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// traceLine is one line of a trace file.
type traceLine struct {
	AtMillis int64               `json:"at_ms"`
	Kind     Kind                `json:"kind"`
	Account  ident.ClientAccount `json:"account"`
}

// ReadTrace reads arrivals from JSON lines with the keys at_ms, kind and
// account. The lines must be in the order of their times. The error names all
// invalid lines.
func (w *Workload) ReadTrace(in io.Reader) ([]Arrival, error) {
	accounts := make(map[ident.ClientAccount]Account)
	for _, account := range w.Accounts {
		accounts[account.Name] = account
	}
	var arrivals []Arrival
	var faults []string
	scanner := bufio.NewScanner(in)
	for number := 1; scanner.Scan(); number++ {
		arrival, err := parseTraceLine(scanner.Bytes(), accounts)
		if err != nil {
			faults = append(faults, fmt.Sprintf("line %d: %v", number, err))
			continue
		}
		if len(arrivals) > 0 && arrival.At < arrivals[len(arrivals)-1].At {
			faults = append(faults, fmt.Sprintf("line %d: at_ms goes back", number))
		}
		arrival.Number = len(arrivals)
		arrivals = append(arrivals, arrival)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(faults) > 0 {
		return nil, errors.New("trace: " + strings.Join(faults, "; "))
	}
	return arrivals, nil
}

func parseTraceLine(line []byte, accounts map[ident.ClientAccount]Account) (Arrival, error) {
	var parsed traceLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return Arrival{}, err
	}
	account, ok := accounts[parsed.Account]
	if !ok {
		return Arrival{}, errors.Errorf("unknown account %q", parsed.Account)
	}
	if parsed.Kind != Short && parsed.Kind != Long && parsed.Kind != Booking {
		return Arrival{}, errors.Errorf("unknown kind %q", parsed.Kind)
	}
	at := time.Duration(parsed.AtMillis) * time.Millisecond
	return Arrival{At: at, Kind: parsed.Kind, Account: account}, nil
}

// promptFor returns an arrival's prompt, of its shape's length: a prefix that the
// account's requests of this kind share, then a part that is unique within the
// run.
func (w *Workload) promptFor(run string, a Arrival) string {
	shape := w.Shapes[a.Kind]
	shared := repeatToTokens(fmt.Sprintf("%s %s. ", a.Account.Name, a.Kind), shape.SharedTokens)
	own := repeatToTokens(fmt.Sprintf("%s %d. ", run, a.Number), max(shape.PromptTokens-shape.SharedTokens, 0))
	return shared + own
}

// repeatToTokens repeats a text up to a length in tokens. Unless that length is 0,
// the result contains the whole text at least once.
func repeatToTokens(text string, tokens int) string {
	if tokens <= 0 {
		return ""
	}
	size := max(tokens*prompt.BytesPerToken, len(text))
	return strings.Repeat(text, size/len(text)+1)[:size]
}

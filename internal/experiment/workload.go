// Package experiment compares routing policies. A small discrete-event loop
// drives the real decision code over stand-ins of the engines, in virtual
// time and in one process. The same seed gives the same figures.
//
// It is no model of a cluster: there are no networks, processes or platform.
package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// Workload is what one user runs and asks for. All of it is data.
type Workload struct {
	Name string
	// Model is the model service, Plain the application beside it.
	Model, Plain *document.Document
	// Prices are what the runners cost. The document of a workload names
	// prices only where its owner wants them to decide.
	Prices       []document.Price
	Runners      []platform.Instance
	PlainRunners []platform.Instance
	Kinds        []Kind
	// Accounts are the client accounts' shares of the requests.
	Accounts []float64
}

// Kind is one kind of request.
type Kind struct {
	Class document.Class
	Plain bool
	// Share of the requests of the model service; plain kinds come on top.
	Share float64
	// Prefixes is how many shared prefixes each client account uses, by a
	// Zipf-like popularity, and PrefixTokens their length.
	Prefixes     int
	PrefixTokens int
	// OwnTokens is the mean length of what only this request has, Output that of
	// the answer, in tokens.
	OwnTokens, OutputTokens int
	// Turns is the length of a conversation whose every turn repeats all
	// earlier ones; 0 and 1 are single requests.
	Turns int
	// ThinkTime is the mean time between two turns.
	ThinkTime time.Duration
	// Patience is how long the caller waits for the first token; 0: forever.
	Patience time.Duration
}

// plainParameters make a Model serve plain calls: one call is one step's
// work of 15 ms, up to 8 at a time.
func plainParameters() engine.Parameters {
	p := engine.DefaultParameters()
	p.StepBase = 10 * time.Millisecond
	p.StepPerStream = 0
	p.PrefillRate = 200
	p.StepTokens = 8
	p.MaxRunning = 8
	return p
}

// arrival is one request as it comes in.
type arrival struct {
	at           time.Duration
	kind         *Kind
	account      int
	blocks       []uint64
	promptTokens int
	outputTokens int
}

// leastEngineTime is the least engine time of a request of a kind: its own part is
// prefilled, its prefix is cached, and it decodes in a full batch.
func (k *Kind) leastEngineTime(p engine.Parameters) float64 {
	token := p.StepBase.Seconds()/float64(p.MaxRunning) + p.StepPerStream.Seconds()
	return float64(k.OwnTokens)/p.PrefillRate + float64(k.OutputTokens)*token
}

// Capacity is the number of model requests a second that the runners can
// serve at most: every prefix is always cached where it is needed, and each
// step holds the mix of decoding and prefill that the requests ask for, as
// much of it as the step's budget and the batch allow.
func (w *Workload) Capacity() float64 {
	p := engine.DefaultParameters()
	own, output, shares := 0.0, 0.0, 0.0
	for _, k := range w.Kinds {
		if !k.Plain {
			own += k.Share * float64(k.OwnTokens)
			output += k.Share * float64(k.OutputTokens)
			shares += k.Share
		}
	}
	prefill := own / output
	streams := min(float64(p.MaxRunning), float64(p.StepTokens)/(1+prefill))
	step := p.StepBase.Seconds() + streams*p.StepPerStream.Seconds() + streams*prefill/p.PrefillRate
	return float64(len(w.Runners)) * shares * streams / output / step
}

// leastCost is the least that a thousand model requests can cost at a case's
// usual load, in cents: their least engine time is bought from the cheapest
// runners first. In a case beyond capacity only what fits is bought.
func (w *Workload) leastCost(c Case) float64 {
	var cents []float64
	for _, i := range w.Runners {
		cents = append(cents, centsPerHour(w.Prices, i))
	}
	slices.Sort(cents)
	load := min(1, c.phases()[0].load)
	left, sum := load*float64(len(cents)), 0.0
	for _, c := range cents {
		sum += c * min(1, max(0, left))
		left--
	}
	return sum / (load * w.Capacity()) * 1000 / time.Hour.Seconds()
}

// phase is a stretch of a run with one load, as a share of Capacity.
type phase struct {
	load     float64
	from, to time.Duration
}

// arrivals draws the requests of a run in the order in which they come.
func (w *Workload) arrivals(rng *rand.Rand, phases []phase, accounts []float64) []arrival {
	var all []arrival
	// Each run has prefixes of its own, so that their homes differ as well.
	salt := rng.Uint64()
	for _, p := range phases {
		for i := range w.Kinds {
			all = append(all, w.arrivalsOf(rng, i, p, accounts, salt)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// arrivalsOf draws Poisson arrivals of conversations of one kind. Some are under
// way when the phase begins, so that it has its load from its first second.
func (w *Workload) arrivalsOf(rng *rand.Rand, kind int, p phase, accounts []float64, salt uint64) []arrival {
	k := &w.Kinds[kind]
	turns := max(1, k.Turns)
	rate := w.Capacity() * p.load * k.Share / float64(turns)
	var list []arrival
	at := p.from - time.Duration(turns)*k.ThinkTime
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.to {
			return list
		}
		for _, turn := range k.conversation(rng, kind, at, drawIndex(rng, accounts), salt) {
			if turn.at >= p.from && turn.at < p.to {
				list = append(list, turn)
			}
		}
	}
}

// conversation draws the turns of one conversation, often only one.
func (k *Kind) conversation(rng *rand.Rand, kind int, at time.Duration, account int, salt uint64) []arrival {
	prefix := 0
	if k.Prefixes > 0 {
		prefix = drawIndex(rng, zipfShares(k.Prefixes))
	}
	shared := mixBits(salt ^ (uint64(kind)<<40 | uint64(account)<<32 | uint64(prefix)<<16))
	own := rng.Uint64()
	var turns []arrival
	length := k.PrefixTokens
	for range max(1, k.Turns) {
		length += drawLength(rng, k.OwnTokens)
		turns = append(turns, arrival{
			at: at, kind: k, account: account, promptTokens: length, outputTokens: drawLength(rng, k.OutputTokens),
			blocks: blocks(shared, k.PrefixTokens, own, length),
		})
		at += time.Duration((0.5 + rng.Float64()) * float64(k.ThinkTime))
	}
	return turns
}

// blocks names the prefix blocks of a prompt: the first ones by the shared
// prefix, the rest by the conversation.
func blocks(shared uint64, prefixTokens int, own uint64, length int) []uint64 {
	list := make([]uint64, length/prompt.BlockTokens)
	for i := range list {
		source := own
		if (i+1)*prompt.BlockTokens <= prefixTokens {
			source = shared
		}
		list[i] = mixBits(source + uint64(i)*0x9e3779b97f4a7c15)
	}
	return list
}

// mixBits spreads numbers over all 64 bits (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// drawLength draws a length between half and one and a half times the mean.
func drawLength(rng *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.5+rng.Float64())))
}

// zipfShares returns the popularity of n things.
func zipfShares(n int) []float64 {
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+1), 0.8)
	}
	return shares
}

// drawIndex draws an index by its share.
func drawIndex(rng *rand.Rand, shares []float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	x := rng.Float64() * total
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// placeInstances places instances on failure domains and makes two of three
// reclaimable.
func placeInstances(service ident.Service, prefix string, domains []ident.FailureDomain, count int, role platform.Role) []platform.Instance {
	var list []platform.Instance
	for i := range count {
		d := domains[i%len(domains)]
		id := ident.Instance(prefix + string(rune('1'+i)))
		list = append(list, platform.Instance{
			ID: id, Incarnation: 1, Role: role, Service: service, FailureDomain: d, Class: "gpu-8",
			Reclaimable: i%3 != 0, Address: string(id), State: platform.Live,
		})
	}
	return list
}

// prices are invented, with the usual spread: a third of on-demand prices for
// reclaimable instances, and up to 60% between failure domains.
func prices(domains []ident.FailureDomain) []document.Price {
	reclaimable := []float64{800, 650, 1000, 720}
	var list []document.Price
	for i, d := range domains {
		list = append(list,
			document.Price{FailureDomain: d, Class: "gpu-8", Reclaimable: true, CentsPerHour: reclaimable[i]},
			document.Price{FailureDomain: d, Class: "gpu-8", CentsPerHour: 3 * reclaimable[i]})
	}
	return list
}

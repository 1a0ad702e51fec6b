// Package experiment compares routing policies by discrete-event simulation. It
// runs the real decision code against models of the engines, in virtual time and
// in one process. The same seed gives the same figures.
//
// It does not model a whole cluster: there are no networks, processes or platform.
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

// Workload describes the services that one user runs, and the requests to them.
type Workload struct {
	Name string
	// Model is the model service, Plain the plain service beside it.
	Model, Plain *document.Document
	// Prices are the runners' prices, by which costs are computed. The model's
	// document contains prices only if routing should take them into account.
	Prices       []document.Price
	Runners      []platform.Instance
	PlainRunners []platform.Instance
	Kinds        []Kind
	// Accounts holds each client account's share of the requests.
	Accounts []float64
}

// Kind is one kind of request.
type Kind struct {
	Class document.Class
	Plain bool
	// Share is the fraction of the model service's requests. The requests of plain
	// kinds are additional, as a fraction of the model service's rate.
	Share float64
	// Prefixes is how many shared prefixes each client account uses, with a
	// Zipf-like popularity, and PrefixTokens their length in tokens.
	Prefixes     int
	PrefixTokens int
	// OwnTokens is the mean length of the part of a prompt that is not shared, and
	// OutputTokens that of the answer.
	OwnTokens, OutputTokens int
	// Turns is the number of requests of a conversation. Each repeats the prompts
	// of all earlier ones. 0 and 1 mean single requests.
	Turns int
	// ThinkTime is the mean time between two turns.
	ThinkTime time.Duration
	// Patience is how long the caller waits for the first token; 0 means without
	// limit.
	Patience time.Duration
}

// plainParameters returns parameters with which an engine.Model serves plain calls: a call
// takes one step of 15 ms, and up to 8 calls run at a time.
func plainParameters() engine.Parameters {
	p := engine.DefaultParameters()
	p.StepBase = 10 * time.Millisecond
	p.StepPerStream = 0
	p.PrefillRate = 200
	p.StepTokens = 8
	p.MaxRunning = 8
	return p
}

// arrival is one request and its time of arrival.
type arrival struct {
	at           time.Duration
	kind         *Kind
	account      int
	blocks       []uint64
	promptTokens int
	outputTokens int
}

// leastEngineTime returns the least engine time of a request of a kind in seconds: only its
// own part is prefilled, its prefix is cached, and it decodes in a full batch.
func (k *Kind) leastEngineTime(p engine.Parameters) float64 {
	token := p.StepBase.Seconds()/float64(p.MaxRunning) + p.StepPerStream.Seconds()
	return float64(k.OwnTokens)/p.PrefillRate + float64(k.OutputTokens)*token
}

// Capacity returns the largest number of model requests per second that the runners can
// serve: every prefix is cached where it is needed, and each step contains decoding and
// prefill in the proportion of the requests, as much as the step's budget and the batch
// allow.
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

// leastCost returns the least cost of a thousand model requests in cents, at a case's load
// outside its load spike: their least engine time is bought from the cheapest runners first.
// If the load exceeds the capacity, only as much as the runners have is bought.
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

// phase is a period of a run with a constant load, as a fraction of Capacity.
type phase struct {
	load     float64
	from, to time.Duration
}

// arrivals draws the requests of a run and returns them in the order of arrival.
func (w *Workload) arrivals(rng *rand.Rand, phases []phase, accounts []float64) []arrival {
	var all []arrival
	// Each run has its own prefixes, so that they are also assigned to different
	// runners.
	salt := rng.Uint64()
	for _, p := range phases {
		for i := range w.Kinds {
			all = append(all, w.arrivalsOf(rng, i, p, accounts, salt)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// arrivalsOf draws the requests of conversations of one kind, which start as a Poisson
// process. Some conversations started before the phase, so that the phase has its load from
// its first second.
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

// conversation draws the requests of one conversation that starts at the given time.
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

// blocks returns the hashes of a prompt's prefix blocks: the first depend on the shared
// prefix, the others on the conversation.
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

// mixBits distributes a number over all 64 bits (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// drawLength draws a length between half and one and a half times the mean.
func drawLength(rng *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.5+rng.Float64())))
}

// zipfShares returns n Zipf-like weights with the exponent 0.8.
func zipfShares(n int) []float64 {
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+1), 0.8)
	}
	return shares
}

// drawIndex draws an index with a probability in proportion to its share.
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

// placeInstances returns live instances that are distributed over failure domains in turn.
// Two of three are reclaimable.
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

// prices returns invented prices with the usual differences: reclaimable instances cost a
// third of on-demand ones, and failure domains differ by up to 60%.
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

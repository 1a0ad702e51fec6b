package settings

import (
	"os"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// Entry are the settings of an entry process: the gateway for opaque requests of
// callers, with the controllers that one of them at a time runs under a lease.
type Entry struct {
	// Path is the file that the settings were read from, to read it again.
	Path string

	Instance      Instance           `toml:"instance"`
	Listen        EntryListen        `toml:"listen"`
	Peers         EntryPeers         `toml:"peers"`
	Store         Address            `toml:"store"`
	Cloud         EntryCloud         `toml:"cloud"`
	Machine       Machine            `toml:"machine"`
	Stop          EntryStop          `toml:"stop"`
	Configuration EntryConfiguration `toml:"configuration"`
	Upstreams     EntryUpstreams     `toml:"upstreams"`
	Retries       Retries            `toml:"retries"`
	Quota         EntryQuota         `toml:"quota"`
	Lease         EntryLease         `toml:"lease"`
	Usage         Usage              `toml:"usage"`
	Rollout       EntryRollout       `toml:"rollout"`
	Log           Log                `toml:"log"`
	Trace         Trace              `toml:"trace"`
}

// EntryListen are an entry process's addresses, host:port.
type EntryListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	// Operators serves metrics; empty serves none.
	Operators string `toml:"operators"`
}

// EntryPeers are where to find other entry processes at the start.
type EntryPeers struct {
	Seeds []string `toml:"seeds"`
}

// Address is where a service answers, host:port.
type Address struct {
	Address string `toml:"address"`
}

// EntryCloud is where orders and reports go.
type EntryCloud struct {
	Address string `toml:"address"`
	// Duties that are owed: "metering", "autoscale".
	Duties []string `toml:"duties"`
}

// MostCores bounds a machine's processor cores; other gateways accept no more of one.
const MostCores = 1024

// Machine bounds what the process may use.
type Machine struct {
	// MemoryMiB is where the process would be ended. Default 256.
	MemoryMiB float64 `toml:"memory_mib"`
	// Descriptors is how many it may have open. Default 1024.
	Descriptors int `toml:"descriptors"`
	// Cores is what the process has of a processor: 0.4 is two fifths of one. Among many
	// gateways those with most of it collect the others' reports. Default 1.
	Cores float64 `toml:"cores"`
}

// EntryStop is how a process ends.
type EntryStop struct {
	// Grace is the time between SIGTERM and SIGKILL. Default 8s.
	Grace time.Duration `toml:"grace"`
}

// EntryConfiguration is how the operators' configuration is followed.
type EntryConfiguration struct {
	// ChangeDue: a change is in force at most so long after it was acknowledged.
	// Default 2s.
	ChangeDue time.Duration `toml:"change_due"`
}

// EntryUpstreams is how upstreams are followed.
type EntryUpstreams struct {
	// DepartureDue: an upstream that says it leaves gets no new work later than
	// this. Default 2s.
	DepartureDue time.Duration `toml:"departure_due"`
}

// Retries bound the arrivals at a service beyond the first of each request.
type Retries struct {
	Ratio  float64       `toml:"ratio"`
	Window time.Duration `toml:"window"`
	Slack  float64       `toml:"slack"`
}

// EntryQuota is by how much accounts may exceed their limits in a window.
type EntryQuota struct {
	Window  time.Duration `toml:"window"`
	Overage float64       `toml:"overage"`
	// Slack is in the accounts' unit.
	Slack float64 `toml:"slack"`
}

// EntryLease is how long a duty stays taken.
type EntryLease struct {
	// Length: a holder that is silent for so long has lost the duty.
	Length time.Duration `toml:"length"`
}

// Usage is how usage is reported.
type Usage struct {
	Window time.Duration `toml:"window"`
	// DueAfter is how long after a window's end its report is due.
	DueAfter time.Duration `toml:"due_after"`
}

// EntryRollout bounds what a new version of a service's upstreams gets before it is proven.
type EntryRollout struct {
	// Share of the service's requests, from the order to its deadline. Default 0.1.
	Share float64 `toml:"share"`
	// Slack is requests beside it. Default 50.
	Slack float64 `toml:"slack"`
	// StopDue is within which time after its bad answers showed a version must get nothing
	// any more. Default 5s.
	StopDue time.Duration `toml:"stop_due"`
}

func defaultEntry() Entry {
	return Entry{
		Machine:       Machine{MemoryMiB: 256, Descriptors: 1024, Cores: 1},
		Stop:          EntryStop{Grace: 8 * time.Second},
		Upstreams:     EntryUpstreams{DepartureDue: 2 * time.Second},
		Configuration: EntryConfiguration{ChangeDue: 2 * time.Second},
		Retries:       Retries{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
		Quota:         EntryQuota{Window: 10 * time.Second, Overage: 0.05},
		Lease:         EntryLease{Length: 3 * time.Second},
		Usage:         Usage{Window: 5 * time.Second, DueAfter: 10 * time.Second},
		Rollout:       EntryRollout{Share: 0.1, Slack: 50, StopDue: 5 * time.Second},
		Log:           Log{Level: "info", Format: LogJSON},
		Trace:         Trace{Exporter: TraceNone},
	}
}

// LoadEntry reads an entry process's settings file.
func LoadEntry(path string) (*Entry, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error(), Want: "a settings file"}}
	}
	e, findings := ParseEntry(path, data)
	e.Path = path
	return e, findings
}

// ParseEntry reads and checks an entry process's settings.
func ParseEntry(file string, data []byte) (*Entry, finding.List) {
	e := defaultEntry()
	s := tomlfile.Decode(file, data, &e)
	checkInstance(s, e.Instance)
	checkRequired(s, "listen.callers", e.Listen.Callers)
	checkRequired(s, "listen.readiness", e.Listen.Readiness)
	checkRequired(s, "listen.peers", e.Listen.Peers)
	checkRequired(s, "store.address", e.Store.Address)
	s.Check(e.Machine.MemoryMiB >= 32, "machine.memory_mib", "is too small", "32 or more")
	s.Check(e.Machine.Descriptors >= 64, "machine.descriptors", "is too small", "64 or more")
	s.Check(e.Machine.Cores > 0 && e.Machine.Cores <= MostCores, "machine.cores", "is out of range", "more than 0, 1024 at the most")
	s.Check(e.Stop.Grace >= time.Second, "stop.grace", "is too short", "1s or more")
	s.Check(e.Configuration.ChangeDue >= time.Second, "configuration.change_due", "is too short", "1s or more: news of it are up to 0.6 of it old")
	s.Check(e.Upstreams.DepartureDue >= time.Second, "upstreams.departure_due", "is too short", "1s or more: the view is up to 0.55 of it old")
	s.Check(e.Retries.Window > 0, "retries.window", "is zero", "more than 0")
	s.Check(e.Retries.Ratio >= 0 && e.Retries.Slack >= 0, "retries.ratio", "or slack is negative", "0 or more")
	s.Check(e.Quota.Window > 0, "quota.window", "is zero", "more than 0")
	s.Check(e.Quota.Overage >= 0 && e.Quota.Slack >= 0, "quota.overage", "or slack is negative", "0 or more")
	s.Check(e.Lease.Length >= 2*time.Second, "lease.length", "is too short", "2s or more: calls under it take up to 0.7s")
	s.Check(e.Usage.Window > 0, "usage.window", "is zero", "more than 0")
	s.Check(e.Rollout.Share > 0 && e.Rollout.Share <= 1, "rollout.share", "is out of range", "more than 0, 1 at the most")
	s.Check(e.Rollout.Slack >= 0, "rollout.slack", "is negative", "0 or more")
	s.Check(e.Rollout.StopDue >= 2*time.Second, "rollout.stop_due", "is too short", "2s or more: gateways hear of each other's findings within 0.7s")
	checkOneOf(s, "log.level", e.Log.Level, logLevels)
	checkOneOf(s, "trace.exporter", string(e.Trace.Exporter), []string{string(TraceNone), string(TraceStdout), string(TraceOTLP)})
	return &e, s.Findings()
}

package settings

import (
	"os"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// Entry holds the settings of an entry process: a gateway that forwards callers'
// requests without reading their contents, together with the controllers that one
// entry process at a time runs under a lease.
type Entry struct {
	// Path is the file that the settings were read from; a reload reads it again.
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

// EntryListen holds the addresses that an entry process listens on, as host:port.
type EntryListen struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	// Operators serves metrics; empty serves none. The others are required.
	Operators string `toml:"operators"`
}

// EntryPeers tells how to find other entry processes.
type EntryPeers struct {
	// Seeds are the addresses of peers, as host:port, to contact at the start.
	Seeds []string `toml:"seeds"`
}

// Address tells where a service answers, as host:port.
type Address struct {
	Address string `toml:"address"`
}

// EntryCloud tells where scaling orders and usage reports are sent.
type EntryCloud struct {
	Address string `toml:"address"`
	// Duties are the tasks that one entry process at a time does for the platform:
	// "metering", "autoscale".
	Duties []string `toml:"duties"`
}

// MaxCores is the maximum of a machine's processor cores. Gateways reject a
// report that names more.
const MaxCores = 1024

// Machine tells how much of the machine an entry process may use.
type Machine struct {
	MachineLimits
	// Cores is how many processor cores the process may use: 0.4 is two fifths of
	// one. Among many gateways, those with the most cores are the collectors of the
	// others' reports. Default 1.
	Cores float64 `toml:"cores"`
}

// EntryStop configures how the process stops.
type EntryStop struct {
	// Grace is the time between SIGTERM and SIGKILL. Default 8s.
	Grace time.Duration `toml:"grace"`
}

// EntryConfiguration configures how fast changes of the operators' configuration
// are applied.
type EntryConfiguration struct {
	// ChangeDue bounds the time from the acknowledgement of a change until it is
	// in force. Default 2s.
	ChangeDue time.Duration `toml:"change_due"`
}

// EntryUpstreams configures how fast changes of upstreams are applied.
type EntryUpstreams struct {
	// DepartureDue bounds how long an upstream still gets new work after it
	// announced its departure. Default 2s.
	DepartureDue time.Duration `toml:"departure_due"`
	// Renewal is how often upstreams renew their entries. Default 1.2s.
	Renewal time.Duration `toml:"renewal"`
	// MaxPause bounds how long an upstream gets no requests because it asked for a
	// pause: one that asks for a day by mistake gets a request after this time, whose
	// answer shows whether it still wants none. Default 10m.
	MaxPause time.Duration `toml:"max_pause"`
}

// Retries configures the retry budget, which limits the attempts that reach a
// service beyond the first attempt of each request: within Window, Ratio times the
// requests, and Slack more.
type Retries struct {
	Ratio  float64       `toml:"ratio"`
	Window time.Duration `toml:"window"`
	Slack  float64       `toml:"slack"`
}

// EntryQuota bounds by how much client accounts may exceed their limits within a
// window: by the fraction Overage of the limit, and Slack more.
type EntryQuota struct {
	Window  time.Duration `toml:"window"`
	Overage float64       `toml:"overage"`
	// Slack is in the unit of the account's limit.
	Slack float64 `toml:"slack"`
}

// EntryLease configures the lease under which one entry process at a time does the
// duties.
type EntryLease struct {
	// Length is how long a holder holds the lease without renewing it. Default 3s.
	Length time.Duration `toml:"length"`
}

// Usage configures the reports of client accounts' usage.
type Usage struct {
	// Window is the time that one report covers. Default 5s.
	Window time.Duration `toml:"window"`
	// DueAfter is how long after a window's end its report is due. Default 10s.
	DueAfter time.Duration `toml:"due_after"`
}

// EntryRollout bounds the requests that a new version of a service's upstreams
// gets before it has proven itself.
type EntryRollout struct {
	// Share is the fraction of the service's requests between the order and its
	// deadline that the new version may get. Default 0.1.
	Share float64 `toml:"share"`
	// Slack is how many requests the new version may get in addition. Default 50.
	Slack float64 `toml:"slack"`
	// StopDue bounds how long a new version still gets requests after its answers
	// showed that it is bad. Default 5s.
	StopDue time.Duration `toml:"stop_due"`
}

func defaultEntry() Entry {
	return Entry{
		Machine:       Machine{MachineLimits: defaultMachineLimits(), Cores: 1},
		Stop:          EntryStop{Grace: 8 * time.Second},
		Upstreams:     EntryUpstreams{DepartureDue: 2 * time.Second, Renewal: 1200 * time.Millisecond, MaxPause: 10 * time.Minute},
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

// LoadEntry reads and checks an entry process's settings file. The settings are
// valid only if there are no findings; they are nil if the file cannot be read.
func LoadEntry(path string) (*Entry, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error(), Want: "a settings file"}}
	}
	e, findings := ParseEntry(path, data)
	e.Path = path
	return e, findings
}

// ParseEntry reads and checks an entry process's settings from data. The findings
// name file as their place.
func ParseEntry(file string, data []byte) (*Entry, finding.List) {
	e := defaultEntry()
	s := tomlfile.Decode(file, data, &e)
	checkInstance(s, e.Instance)
	checkRequired(s, "listen.callers", e.Listen.Callers)
	checkRequired(s, "listen.readiness", e.Listen.Readiness)
	checkRequired(s, "listen.peers", e.Listen.Peers)
	checkRequired(s, "store.address", e.Store.Address)
	checkMachineLimits(s, e.Machine.MachineLimits)
	s.Check(e.Machine.Cores > 0 && e.Machine.Cores <= MaxCores, "machine.cores", "is out of range", "more than 0, 1024 at the most")
	s.Check(e.Stop.Grace >= time.Second, "stop.grace", "is too short", "1s or more")
	s.Check(e.Configuration.ChangeDue >= time.Second, "configuration.change_due", "is too short", "1s or more: news of it are up to 0.6 of it old")
	s.Check(e.Upstreams.Renewal > 0, "upstreams.renewal", "is zero or negative", "more than 0")
	s.Check(e.Upstreams.DepartureDue >= time.Second, "upstreams.departure_due", "is too short", "1s or more: the view is up to 0.55 of it old")
	s.Check(e.Upstreams.MaxPause >= time.Second, "upstreams.max_pause", "is too short", "1s or more: upstreams ask for seconds")
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

package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// barredPath is the path where operators list the poison requests, which are barred because
// they crash upstreams, and where they clear one.
const barredPath = "/requests/barred"

// barredHandlers returns the operators' handlers for barred requests, by pattern.
func (p *Process) barredHandlers() map[string]http.Handler {
	return map[string]http.Handler{
		"GET " + barredPath:                http.HandlerFunc(p.listBarred),
		"DELETE " + barredPath + "/{name}": http.HandlerFunc(p.clearBarred),
	}
}

// listBarred prints a line for each feature whose requests are barred.
func (p *Process) listBarred(w http.ResponseWriter, _ *http.Request) {
	for _, b := range p.poison.List() {
		fmt.Fprintf(w, "%s found_s=%.0f idle_s=%.0f ends=%d with=%s\n", b.Feature, b.Age.Seconds(), b.Idle.Seconds(), b.Crashes, joined(b.With))
	}
}

func joined(features []ident.Feature) string {
	names := make([]string, len(features))
	for i, f := range features {
		names[i] = f.String()
	}
	return strings.Join(names, ",")
}

// clearBarred allows requests with one feature to run again, at all gateways.
func (p *Process) clearBarred(w http.ResponseWriter, r *http.Request) {
	feature, err := ident.ParseFeature(r.PathValue("name"))
	switch {
	case err != nil:
		http.Error(w, "not a name as "+barredPath+" prints it", http.StatusBadRequest)
	case !p.poison.Clear(feature):
		http.Error(w, "not barred", http.StatusNotFound)
	default:
		fmt.Fprintf(w, "%s cleared\n", feature)
	}
}

// writePoisonMetrics prints the counters of poison requests.
func (p *Process) writePoisonMetrics(w io.Writer) {
	c := p.poison.Counters()
	fmt.Fprintf(w, "upstreams_ended_total %d\nrequests_barred_found_total %d\nrequests_barred_total %d\nrequests_barred_now %d\nrequests_suspected_now %d\nrequests_suspected_waited_total %d\n"+
		"upstreams_ended_late_total %d\nrequests_held_total %d\n",
		c.Crashes, c.Convicted, c.Barred, len(p.poison.List()), p.poison.Suspected(), c.Waited, c.LateCrashes, c.Held)
}

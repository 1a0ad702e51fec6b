package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The gateway's own paths on the operators' address.
const (
	statusPath  = "GET /status"
	explainPath = "GET /explain"
)

// status is what an operator sees of a gateway, as JSON.
type status struct {
	Instance      ident.Instance      `json:"instance"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Ready         bool                `json:"ready"`
	// NotReady says why Ready is false.
	NotReady string `json:"not_ready,omitempty"`
	Stopping bool   `json:"stopping"`
	// Revision of the configuration in force.
	Revision ident.Revision `json:"revision"`
	// Services with the revision of each one's document.
	Services map[ident.Service]ident.Revision `json:"services"`
	// Problem of the configuration, such as a record that is not understood.
	Problem      string         `json:"problem,omitempty"`
	LogReachable bool           `json:"log_reachable"`
	JournalReady bool           `json:"journal_ready"`
	Members      []memberStatus `json:"members"`
}

// memberStatus is one instance as the gateway sees it.
type memberStatus struct {
	ID            ident.Instance      `json:"id"`
	Role          string              `json:"role"`
	Service       ident.Service       `json:"service,omitempty"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	State         string              `json:"state"`
	Since         time.Time           `json:"since"`
}

var roleNames = map[platform.Role]string{
	platform.RoleEntry:  "entry",
	platform.RoleEngine: "engine",
	platform.RolePlain:  "plain",
}

var stateNames = map[blackboard.MemberState]string{
	blackboard.Alive:   "alive",
	blackboard.Suspect: "suspect",
	blackboard.Leaving: "leaving",
	blackboard.Gone:    "gone",
}

func statusOf(self platform.Instance, board *blackboard.Board, r *readiness) status {
	ok, reason := r.check(time.Now())
	set := board.Documents.Value()
	s := status{
		Instance:      self.ID,
		Incarnation:   self.Incarnation,
		FailureDomain: self.FailureDomain,
		Ready:         ok,
		NotReady:      reason,
		Stopping:      board.Stopping.Value(),
		Revision:      set.Revision,
		Services:      map[ident.Service]ident.Revision{},
		Problem:       board.Configuration.Value().Problem,
		LogReachable:  board.Configuration.Value().LogReachable,
		JournalReady:  board.Journal.Value().Ready,
	}
	for name, entry := range set.Services {
		s.Services[name] = entry.Revision
	}
	for _, m := range board.Members.Value().ByID {
		s.Members = append(s.Members, memberStatus{
			ID:            m.Instance.ID,
			Role:          roleNames[m.Instance.Role],
			Service:       m.Instance.Service,
			FailureDomain: m.Instance.FailureDomain,
			State:         stateNames[m.State],
			Since:         m.Since,
		})
	}
	slices.SortFunc(s.Members, func(a, b memberStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// statusHandler answers with the gateway's status.
func statusHandler(self platform.Instance, board *blackboard.Board, r *readiness) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, statusOf(self, board, r))
	})
}

// explainHandler answers with what is remembered of a request.
func explainHandler(recorder *explain.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ident.Request(r.URL.Query().Get("request_id"))
		records := recorder.Find(id)
		if len(records) == 0 {
			answerJSON(w, http.StatusNotFound, problem{"this gateway remembers no request with this ID"})
			return
		}
		answerJSON(w, http.StatusOK, records)
	})
}

// problem is an answer that says what is wrong.
type problem struct {
	Error string `json:"error"`
}

func answerJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

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
	"github.com/goldcrestspool/goldcrestspool/internal/operatorapi"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The gateway's own paths on the operators' address.
const (
	statusPath  = "GET " + operatorapi.StatusPath
	explainPath = "GET " + operatorapi.ExplainPath
)

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

func statusOf(self platform.Instance, board *blackboard.Board, r *readiness) operatorapi.Status {
	ok, reason := r.check(time.Now())
	set := board.Documents.Value()
	s := operatorapi.Status{
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
		s.Members = append(s.Members, operatorapi.Member{
			ID:            m.Instance.ID,
			Role:          roleNames[m.Instance.Role],
			Service:       m.Instance.Service,
			FailureDomain: m.Instance.FailureDomain,
			State:         stateNames[m.State],
			Since:         m.Since,
		})
	}
	slices.SortFunc(s.Members, func(a, b operatorapi.Member) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// statusHandler answers with the gateway's status.
func statusHandler(self platform.Instance, board *blackboard.Board, r *readiness) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, statusOf(self, board, r))
	})
}

// explainHandler answers with the recorded attempts and endings of a request.
func explainHandler(recorder *explain.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := ident.Request(r.URL.Query().Get(operatorapi.RequestParameter))
		records := recorder.Find(id)
		if len(records) == 0 {
			writeJSON(w, http.StatusNotFound, operatorapi.ErrorResponse{Error: "this gateway remembers no request with this ID"})
			return
		}
		writeJSON(w, http.StatusOK, records)
	})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

package explain

import (
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

func subject(request, account string) Subject {
	return Subject{Request: ident.Request(request), Account: ident.ClientAccount(account), Service: "s"}
}

func TestFindKeepsAccountsApart(t *testing.T) {
	r := NewRecorder(8)
	r.RecordAttempt(subject("r1", "a"), Attempt{Upstream: "u1"})
	r.RecordAttempt(subject("r1", "b"), Attempt{Upstream: "u9"})
	r.RecordAttempt(subject("r1", "a"), Attempt{Upstream: "u2"})
	r.RecordEnding(subject("r1", "a"), Ending{Outcome: "completed"})
	records := r.Find("r1")
	if len(records) != 2 {
		t.Fatalf("got records %+v, want one for each account", records)
	}
	first := records[0]
	if first.Account != "a" || len(first.Attempts) != 2 || first.Attempts[1].Upstream != "u2" || len(first.Endings) != 1 {
		t.Errorf("got record %+v, want two attempts and one ending of account a", first)
	}
}

func TestRingForgetsTheOldest(t *testing.T) {
	r := NewRecorder(2)
	for _, request := range []string{"r1", "r2", "r3"} {
		r.RecordEnding(subject(request, "a"), Ending{Outcome: "completed"})
	}
	if len(r.Find("r1")) != 0 || len(r.Find("r2")) != 1 || len(r.Find("r3")) != 1 {
		t.Error("a recorder of two events must keep exactly the last two")
	}
}

package testkit

import "testing"

// Guards against a test whose processes get the ports of another test's processes while these are
// stopped: callers and upstreams of the two then answer each other.
func TestNoTwoProcessesShareABlockOfPorts(t *testing.T) {
	const samePreference = 7
	first, err := claimPortBlock(samePreference)
	if err != nil {
		t.Fatal(err)
	}
	defer first.claim.Close()
	second, err := claimPortBlock(samePreference)
	if err != nil {
		t.Fatal(err)
	}
	defer second.claim.Close()
	if first.first == second.first {
		t.Errorf("two processes have the ports from %d on", first.first)
	}
}

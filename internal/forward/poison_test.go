package forward

import (
	"net/http"
	"testing"
)

// Guards against a poison request that counts as harmless because an upstream answered it, completely, without looking
// at it.
func TestWhichFailuresShowThatARequestRan(t *testing.T) {
	for status, want := range map[int]bool{
		http.StatusBadRequest: true, http.StatusForbidden: true, http.StatusConflict: true, http.StatusUnprocessableEntity: true,
		http.StatusNotFound: false, http.StatusMethodNotAllowed: false, http.StatusRequestTimeout: false, http.StatusMisdirectedRequest: false,
		http.StatusTooManyRequests: false,
	} {
		if got := showsRun(status); got != want {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}

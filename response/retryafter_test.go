package response

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a header that tells callers to retry too early, or at once.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for delay, want := range map[time.Duration]string{
		time.Millisecond: "1", DefaultRetryAfter: "1", 1001 * time.Millisecond: "2", 3 * time.Second: "3",
	} {
		header := make(http.Header)
		SetRetryAfter(header, delay)
		if got := header.Get(HeaderRetryAfter); got != want {
			t.Errorf("delay %v: %q, want %q", delay, got, want)
		}
	}
}

package fault

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
)

// Guards against a failure that loses its code or its retry delay when it is wrapped.
func TestDescribeSeesThroughWrapping(t *testing.T) {
	base := &Failure{FailureCode: CodeOverloaded, Op: "admit", Detail: "queue full", RetryAfter: 2 * time.Second}
	err := errors.Wrap(NotRun(errors.Wrap(base, "forward")), "gateway")
	want := Description{Code: CodeOverloaded, Status: 429, Exit: ExitUnavailable, RetryAfter: 2 * time.Second}
	if diff := cmp.Diff(want, Describe(err)); diff != "" {
		t.Errorf("description (-want +got):\n%s", diff)
	}
	if got := OutcomeOf(err); got != api.NotRun {
		t.Errorf("outcome = %s, want %s", got, api.NotRun)
	}
}

// Guards against telling a caller "not-run" after a failure that does not prove that the request was not executed.
func TestOutcomeIsUnknownUnlessProven(t *testing.T) {
	if got := OutcomeOf(New(CodeUnreachable, "send", "connection reset")); got != api.Unknown {
		t.Errorf("outcome = %s, want %s", got, api.Unknown)
	}
}

package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want InvalidError
	}{
		{"a missing name must be rejected", []string{"--platform-url=http://127.0.0.1:1"},
			InvalidError{Flag: "id", Accepted: "a non-empty text"}},
		{"an instance whose region is not listed would hash idempotency keys differently from the others",
			[]string{"--dev", "--regions=a", "--regions=b"},
			InvalidError{Flag: "regions", Value: "a,b", Accepted: "the names of all regions, local among them"}},
		{"a host name must not be accepted as an IP address", []string{"--dev", "--peer-addr=localhost:1"},
			InvalidError{Flag: "peer-addr", Value: "localhost:1", Accepted: "an IP address and a port, for example 127.0.0.1:8080"}},
		{"an instance lease longer than 5 minutes must be rejected", []string{"--dev", "--hold=6m"},
			InvalidError{Flag: "hold", Value: "6m0s", Accepted: "3s to 5m0s"}},
		{"an instance lease shorter than the renewal interval must be rejected", []string{"--dev", "--hold=1s"},
			InvalidError{Flag: "hold", Value: "1s", Accepted: "3s to 5m0s"}},
		{"a memory limit below the use of an idle instance would keep the garbage collector running", []string{"--dev", "--memory-limit=8"},
			InvalidError{Flag: "memory-limit", Value: "8", Accepted: "0, or 16 to 65536"}},
		{"a key without a certificate must not make the instance serve plain HTTP", []string{"--dev", "--caller-key=missing.pem"},
			InvalidError{Flag: "caller-cert", Accepted: "a PEM file, because --caller-key is set"}},
		{"operators must authenticate outside dev mode",
			[]string{"--id=a", "--region=r", "--regions=r", "--data-centre=d", "--platform-url=http://127.0.0.1:1"},
			InvalidError{Flag: "operator-token", Accepted: "a non-empty text"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(tc.args)
			var got *InvalidError
			if !errors.As(err, &got) {
				t.Fatalf("Parse: %v, want an InvalidError", err)
			}
			if diff := cmp.Diff(tc.want, *got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a setting that can be set by a flag but not by its environment variable.
func TestEnvironment(t *testing.T) {
	t.Setenv("BRONZEHOOK_DEV", "true")
	t.Setenv("BRONZEHOOK_ID", "from-environment")
	s, err := Parse(nil)
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "from-environment" {
		t.Errorf("id = %q", s.ID)
	}
}

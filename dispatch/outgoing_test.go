package dispatch

import (
	"testing"

	"bronzehook/api"
)

// Guards against endpoints and workers' journals that cannot tell whether a caller's key ran twice.
func TestOutgoingRequestNamesTheKey(t *testing.T) {
	for _, tc := range []struct{ name, key string }{
		{"the caller's key must reach the endpoint", "cornwall:order-7"},
		{"a request without a key must carry no empty key", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, err := newOutgoing(exchange{request: Request{Target: "/order", Key: tc.key}}, Permit{})
			if err != nil {
				t.Fatal(err)
			}
			values, present := out.Header[api.HeaderKey]
			if present != (tc.key != "") || out.Header.Get(api.HeaderKey) != tc.key {
				t.Errorf("header %s = %q", api.HeaderKey, values)
			}
		})
	}
}

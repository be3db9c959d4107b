package dispatch

import (
	"testing"

	"bronzehook/api"
)

// Guards against a missing idempotency key: endpoints and event logs of workers need it to detect a second execution.
func TestOutgoingRequestCarriesIdempotencyKey(t *testing.T) {
	for _, tc := range []struct{ name, key string }{
		{"the caller's idempotency key must reach the endpoint", "cornwall:order-7"},
		{"a request without a key must carry no empty header", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			outgoing, err := newOutgoingRequest(exchange{request: Request{Target: "/order", Key: tc.key}}, Permit{})
			if err != nil {
				t.Fatal(err)
			}
			values, present := outgoing.Header[api.HeaderKey]
			if present != (tc.key != "") || outgoing.Header.Get(api.HeaderKey) != tc.key {
				t.Errorf("header %s = %q", api.HeaderKey, values)
			}
		})
	}
}

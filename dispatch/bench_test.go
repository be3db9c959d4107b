package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bronzehook/api"
)

// BenchmarkExchange compares the client with net/http's Transport on the same endpoint. Run it with -count to see both
// under the same machine load.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
		_, _ = w.Write([]byte("hello"))
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	b.Run("client", func(b *testing.B) {
		client := NewClient(DefaultClientConfig())
		defer client.Close()
		slots := NewSlotTable()
		slots.SetCapacity("w", 8, 64, 0)
		d := New("i1", slots, permitAll{}, client, nil)
		endpoint := api.Endpoint{Worker: "w", Addr: addr, Owner: "i1"}
		ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
		defer cancel()
		b.ReportAllocs()
		for b.Loop() {
			if _, err := d.Send(ctx, Request{ID: "id", Method: http.MethodGet, Target: "/"}, endpoint); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("transport", func(b *testing.B) {
		transport := &http.Transport{MaxIdleConnsPerHost: 8}
		defer transport.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+addr+"/", nil)
			if err != nil {
				b.Fatal(err)
			}
			request.Header.Set(api.HeaderRequest, "id")
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}

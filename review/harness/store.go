package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// transaction holds what the stand-in checks in a transaction.
type transaction struct {
	Expected []struct {
		Part string `json:"part"`
	} `json:"expected_revision"`
	Puts []struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
}

// storeServer is the store of the platform: that of the project's own tests, with the limits of a row and of a call.
type storeServer struct{ lab *Lab }

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if refused := s.refusal(r, body); refused {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.lab.Store.ServeHTTP(w, r)
}

// refusal reports whether a call is beyond the limits of the settings (row_bytes) and of the pages (1 MB a call).
func (s *storeServer) refusal(r *http.Request, body []byte) bool {
	if r.URL.Path != pathTransaction {
		return false
	}
	if len(body) > callBytes {
		s.lab.Note("store refuses a call of %d bytes", len(body))
		return true
	}
	var txn transaction
	if json.Unmarshal(body, &txn) != nil {
		return true
	}
	for _, put := range txn.Puts {
		if len(put.Value) > rowBytes {
			s.lab.Note("store refuses row %s/%s of %d bytes, row_bytes is %d", put.Table, put.Key, len(put.Value), rowBytes)
			return true
		}
	}
	return false
}

const (
	pathTransaction = "/-/rows-tx"
	// controlPart is the partition that holds the records of progress.
	controlPart = "control"
)

// Gate is the way of one instance to the store.
type Gate struct {
	lab   *Lab
	name  string
	store http.Handler

	mu sync.Mutex
	// silent is set while calls get no answer; transactions are then carried out after late, if it is not 0.
	silent  bool
	late    time.Duration
	busy    bool
	control time.Time
}

// SetBusy makes the store answer all calls of the instance with 503, or ends that.
func (g *Gate) SetBusy(busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = busy
	g.lab.Note("the store answers 503 to %s: %t", g.name, busy)
}

// Silence makes the store answer no call of the instance any more. Transactions that arrive are carried out late.
func (g *Gate) Silence(late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent, g.late = true, late
	g.lab.Note("the store answers no call of %s; transactions are carried out %v later", g.name, late)
}

// Restore ends Silence.
func (g *Gate) Restore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = false
	g.lab.Note("the store answers %s again", g.name)
}

func (g *Gate) lastControl() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	g.mu.Lock()
	silent, late, busy := g.silent, g.late, g.busy
	g.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !silent {
		if r.URL.Path != pathTransaction {
			g.store.ServeHTTP(w, r)
			return
		}
		g.commit(w, r, body)
		return
	}
	if r.URL.Path == pathTransaction && late > 0 {
		again := r.Clone(r.Context())
		again.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(late, func() {
			result := httptest.NewRecorder()
			g.store.ServeHTTP(result, again)
			g.lab.Note("late transaction of %s: %d", g.name, result.Code)
		})
	}
	<-r.Context().Done()
}

// commit passes a transaction on and notes when one under a condition of the control partition took effect.
func (g *Gate) commit(w http.ResponseWriter, r *http.Request, body []byte) {
	var txn transaction
	_ = json.Unmarshal(body, &txn)
	result := httptest.NewRecorder()
	g.store.ServeHTTP(result, r)
	if result.Code == http.StatusOK && len(txn.Expected) > 0 && txn.Expected[0].Part == controlPart {
		g.mu.Lock()
		g.control = time.Now()
		g.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Code)
	_, _ = w.Write(result.Body.Bytes())
}

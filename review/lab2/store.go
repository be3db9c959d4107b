package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store that the settings and the pages name.
const (
	rowBytes   = 65_536
	maxEntries = 100
	maxRows    = 500
)

type rowKey struct{ table, part, key string }

// wireRow is a row in requests and responses of the store.
type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type wireTxn struct {
	Expected []wireRow `json:"expected_revision"`
	Puts     []wireRow `json:"puts"`
	Remove   []wireRow `json:"remove"`
}

type wireRows struct {
	Rows    []wireRow `json:"rows"`
	More    bool      `json:"has_more"`
	Version uint64    `json:"ver"`
	Now     int64     `json:"now_ms"`
}

// Store is a stand-in of the platform's store without disruptions.
type Store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[rowKey]wireRow
	history []wireRow
	version uint64
	started time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{rows: make(map[rowKey]wireRow), started: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Put writes a row of the operator or of a worker.
func (s *Store) Put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(wireRow{Table: table, Key: key, Value: encoded, Version: s.version})
	s.changed.Broadcast()
}

// Remove removes a row of the operator or of a worker.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.unset(rowKey{table: table, key: key})
	s.changed.Broadcast()
}

// Value returns the value of a row with an empty part, or nil.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table: table, key: key}].Value
}

func (s *Store) set(row wireRow) {
	s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	s.history = append(s.history, row)
}

func (s *Store) unset(key rowKey) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	delete(s.rows, key)
	s.history = append(s.history, wireRow{
		Table: key.table, Part: key.part, Key: key.key, Version: s.version, Tombstone: true,
	})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTxn(w, r)
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) response() wireRows {
	return wireRows{Rows: []wireRow{}, Version: s.version, Now: time.Since(s.started).Milliseconds()}
}

// refusal returns the status for a transaction that the store does not accept, or 0.
func (t *wireTxn) refusal() int {
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest
	}
	for _, rows := range [][]wireRow{t.Puts, t.Remove} {
		for i := range rows {
			if rows[i].Table == "op" || rows[i].Table == "servers" {
				return http.StatusForbidden
			}
			if len(rows[i].Value) > rowBytes {
				return http.StatusBadRequest
			}
		}
	}
	return 0
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn wireTxn
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := txn.refusal(); status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := s.response(), true
	for _, e := range txn.Expected {
		row, exists := s.rows[rowKey{e.Table, e.Part, e.Key}]
		holds = holds && row.Version == e.Version
		if exists {
			current.Rows = append(current.Rows, row)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, row := range txn.Puts {
		row.Version = s.version
		s.set(row)
	}
	for _, row := range txn.Remove {
		s.unset(rowKey{row.Table, row.Part, row.Key})
	}
	s.changed.Broadcast()
	respond(w, http.StatusOK, s.response())
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.response()
	for key, row := range s.rows {
		inRange := key.key >= query.Get("from") && (query.Get("target") == "" || key.key < query.Get("target"))
		if key.table == query.Get("table") && key.part == query.Get("part") && inRange {
			result.Rows = append(result.Rows, row)
		}
	}
	sort.Slice(result.Rows, func(i, j int) bool { return result.Rows[i].Key < result.Rows[j].Key })
	if len(result.Rows) > limit {
		result.Rows, result.More = result.Rows[:limit], true
	}
	respond(w, http.StatusOK, result)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		result := s.response()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, row := range s.history[first:] {
			if row.Table == query.Get("table") {
				result.Rows = append(result.Rows, row)
			}
		}
		if len(result.Rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			respond(w, http.StatusOK, result)
			return
		}
		s.changed.Wait()
	}
}

// respond writes a status and a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

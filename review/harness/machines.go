package harness

import (
	"encoding/json"
	"net/http"
)

// machines is the machine service of the platform. No case asks for the upkeep or the move of a machine.
type machines struct{ lab *Lab }

// ServeHTTP implements http.Handler.
func (m *machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := []any{}
	for _, worker := range m.lab.Fleet.Workers() {
		rows = append(rows, map[string]any{
			"machine": worker.Machine, "pool": serverPool, "state": "up", "zone": frontZone, "labels": []string{"a", worker.rack},
			"capacity": map[string]int{"cpu": m.lab.Fleet.CPU, "mem_mb": m.lab.Fleet.MemoryMB, "gpu": 0}, "id": worker.ID,
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": ""})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

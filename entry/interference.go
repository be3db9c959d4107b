package entry

import (
	"encoding/json"
	"net/http"

	"bronzehook/leadership"
	"bronzehook/mitigation"
)

// interferenceReports serves the instance's report of the interference of images.
func interferenceReports(board *mitigation.Board, clock leadership.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write ends with the connection; the client sees that.
		_ = json.NewEncoder(w).Encode(board.Report(clock()))
	})
}

// Package response buffers HTTP responses in memory until it is decided whether they are sent, and sets the header that
// tells callers when to send a refused request again.
package response

import (
	"bytes"
	"maps"
	"net/http"
)

// Buffer is a buffered response. It implements http.ResponseWriter.
type Buffer struct {
	Status int
	Body   bytes.Buffer
	header http.Header
}

// NewBuffer returns an empty response with status 200.
func NewBuffer() *Buffer { return &Buffer{Status: http.StatusOK, header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (b *Buffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *Buffer) WriteHeader(status int) { b.Status = status }

// Write implements http.ResponseWriter.
func (b *Buffer) Write(content []byte) (int, error) { return b.Body.Write(content) }

// WriteTo writes the buffered response to w.
func (b *Buffer) WriteTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.Status)
	_, _ = w.Write(b.Body.Bytes())
}

// Package session tests whole sessions: instances run as processes beside a stand-in site, operators use the command
// line, callers use HTTP, and faults are injected from outside. Checkers read only the workers' journals and the rows of
// the table.
package session

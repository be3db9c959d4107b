// Package session has end-to-end tests: instances run as processes against a fake cluster, operators use the command line,
// callers use HTTP, and faults are injected from outside. Checks read only the event logs of the fake workers and the rows
// of the table.
package session
